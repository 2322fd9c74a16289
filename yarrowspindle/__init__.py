"""yarrowspindle: placing long-lived connections by two random choices, one balancer at a time."""

from yarrowspindle.decisions.balancer import Balancer

__all__ = ["Balancer"]
