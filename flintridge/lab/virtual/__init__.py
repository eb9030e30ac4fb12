"""Runs many nodes and their environment in one process: an event loop in virtual time and a modelled network.

Node code runs unmodified: it uses an asyncio loop, streams and datagrams. Time jumps to the next timer, and
the order of events is the same each time a program runs.
"""

from flintridge.lab.virtual.errors import DeadlockError, LivelockError
from flintridge.lab.virtual.host import Host, current_host
from flintridge.lab.virtual.link import FixedLink, Link
from flintridge.lab.virtual.loop import VirtualLoop, run
from flintridge.lab.virtual.network import Network
from flintridge.lab.virtual.process import CURRENT_PROCESS, Process

__all__ = [
    "CURRENT_PROCESS",
    "DeadlockError",
    "FixedLink",
    "Host",
    "Link",
    "LivelockError",
    "Network",
    "Process",
    "VirtualLoop",
    "current_host",
    "run",
]
