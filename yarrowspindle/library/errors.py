"""Errors that a host application may have to handle."""

from __future__ import annotations


class PlacementError(Exception):
    """Base class of the errors that a `Placer` raises."""


class Rejected(PlacementError):
    """No backend has capacity. The request was not run, so that it may safely be retried.

    Attributes:
        retry_after: Seconds to wait before the retry; 0 if there is no advice.
    """

    def __init__(self, retry_after: float = 0.0) -> None:
        super().__init__(f"no backend has capacity; try again after {retry_after:.1f} s")
        self.retry_after = retry_after


class Failed(PlacementError):
    """The request has failed; a backend may or may not have run it."""

    def __init__(self) -> None:
        super().__init__("the request failed; a backend may have run it")


class BackendDropped(PlacementError):
    """The backend is draining or removed, or the attempt timed out. `await placement.failed()` tries another one."""


class PlacerClosed(PlacementError):
    """The placer is not open: it has not been started, is closing, or is closed."""


class WrongContext(PlacementError):
    """A placer was used outside the event loop, thread or process that started it; each needs a placer of its own."""


class BackendUnreachable(Exception):
    """Raised by an application before its response starts, so that the middleware tries another backend.

    A framework may turn it into an error page, which the middleware discards.
    """
