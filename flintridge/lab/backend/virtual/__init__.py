"""The backend in virtual time: the modelled network as a fabric, and the nodes as hosts on it."""

from flintridge.lab.backend.virtual.fabric import VirtualFabric as VirtualFabric
from flintridge.lab.backend.virtual.nodes import VirtualNodes as VirtualNodes
from flintridge.lab.backend.virtual.peers import VirtualPeers as VirtualPeers
