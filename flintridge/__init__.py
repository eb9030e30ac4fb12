"""flintridge: the decisions of a proxy that spreads object keys over cache servers."""

from flintridge.decide import Balancer

__all__ = ["Balancer"]
