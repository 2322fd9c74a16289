"""ASGI middleware, built on the library, for applications that relay long-lived connections to backends."""

from yarrowspindle.middleware.asgi import PlacementMiddleware
from yarrowspindle.middleware.streams import LineLink, Link, open_line_link, reach, relay_events, relay_websocket

__all__ = ["LineLink", "Link", "PlacementMiddleware", "open_line_link", "reach", "relay_events", "relay_websocket"]
