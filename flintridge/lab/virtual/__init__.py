"""Many nodes and their world in one process: an event loop in virtual time over a modelled network.

Node code runs here unmodified: it sees an asyncio loop, streams and datagrams. Time jumps to the next timer,
and the same program gives the same order of events each time.
"""

from flintridge.lab.virtual.loop import Deadlock, Stuck, VirtualLoop, run
from flintridge.lab.virtual.net import HOST, FixedLink, Host, Link, Network, Process, current_host

__all__ = [
    "HOST",
    "Deadlock",
    "FixedLink",
    "Host",
    "Link",
    "Network",
    "Process",
    "Stuck",
    "VirtualLoop",
    "current_host",
    "run",
]
