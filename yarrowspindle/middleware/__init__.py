"""Pure ASGI middleware on the core: for applications that pass long-lived connections on to execute nodes."""

from yarrowspindle.middleware.asgi import PlacementMiddleware

__all__ = ["PlacementMiddleware"]
