"""The operators' API: where operators ask and tell the relay; it decides nothing."""

from yarrowspindle.operator_api.http import MOST, OperatorApi, Routes

__all__ = ["MOST", "OperatorApi", "Routes"]
