"""Many nodes and their world in one process: an event loop in virtual time over a modelled network.

Node code runs here unmodified: it sees an asyncio loop, streams and datagrams. Time jumps to the next timer,
and the same program gives the same order of events each time.
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
