"""The operators' API over HTTP: it passes calls on and decides nothing."""

from yarrowspindle.operator_api.http import MAX_CALLS, OperatorApi, Routes

__all__ = ["MAX_CALLS", "OperatorApi", "Routes"]
