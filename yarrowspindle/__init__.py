"""yarrowspindle: a load balancer for long-lived connections that places each by two random choices."""

from yarrowspindle.decisions.balancer import Balancer

__all__ = ["Balancer"]
