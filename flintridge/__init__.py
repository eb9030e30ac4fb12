"""flintridge: a proxy that distributes object keys over cache servers, and its decision policy."""

from flintridge.policy.balancer import Balancer

__all__ = ["Balancer"]
