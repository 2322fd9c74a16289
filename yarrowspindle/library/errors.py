"""The errors that a host application may have to handle."""

from __future__ import annotations


class PlacementError(Exception):
    """The base of all that a `Placer` raises."""


class Rejected(PlacementError):
    """No backend has capacity; trying again is harmless.

    Attributes:
        retry_after: seconds to wait before; 0: no advice.
    """

    def __init__(self, retry_after: float = 0.0) -> None:
        super().__init__(f"no backend has capacity; try again after {retry_after:.1f} s")
        self.retry_after = retry_after


class Failed(PlacementError):
    """The request has failed; nothing is promised on whether it ran."""

    def __init__(self) -> None:
        super().__init__("the request could not be placed")


class BackendDropped(PlacementError):
    """The backend drains or is gone, or the attempt's time is up: `await placement.failed()` for another."""


class PlacerClosed(PlacementError):
    """The placer is not open: not started yet, about to close, or closed."""


class WrongContext(PlacementError):
    """A placer belongs to the event loop, the thread and the process that started it; make one for each."""


class BackendUnreachable(Exception):
    """Raised by an application before its response starts: the middleware tries another backend.

    A framework may make an error page of it, which the middleware does not pass on.
    """
