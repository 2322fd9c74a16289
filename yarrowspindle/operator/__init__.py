"""The operators' API: where operators ask and tell the relay; it decides nothing."""

from yarrowspindle.operator.http import OperatorApi, Routes

__all__ = ["OperatorApi", "Routes"]
