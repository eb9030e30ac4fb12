"""heathproxy: the decisions of a proxy that spreads object keys over cache servers."""

from heathproxy.decide import Balancer

__all__ = ["Balancer"]
