"""The HTTP server of the operators' API; its users pass the functions that carry out the calls."""

from yarrowspindle.operator_api.http import MAX_CALLS, OperatorApi, Routes

__all__ = ["MAX_CALLS", "OperatorApi", "Routes"]
