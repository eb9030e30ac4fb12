"""flintridge: the decisions of a proxy that spreads object keys over cache servers."""

from flintridge.policy.balancer import Balancer

__all__ = ["Balancer"]
