"""What a host application may have to catch."""

from __future__ import annotations


class PlacementError(Exception):
    """The base of all that `Placer` raises on its own account."""


class Rejected(PlacementError):
    """No execute node has room; trying again is harmless. `retry_after`: seconds, 0 where no advice is given."""

    def __init__(self, retry_after: float = 0.0) -> None:
        super().__init__(f"no execute node has room; come again after {retry_after:.1f} s")
        self.retry_after = retry_after


class Failed(PlacementError):
    """The job has failed; nothing is promised on whether it ran."""

    def __init__(self) -> None:
        super().__init__("the job could not be placed")


class BackendDropped(PlacementError):
    """The node drains or is gone, or the attempt's time is up: `await placement.failed()` for another."""


class PlacerClosed(PlacementError):
    """The placer is not open: not started yet, about to close, or closed."""


class WrongContext(PlacementError):
    """A placer belongs to the event loop, the thread and the process that started it; make one for each."""


class BackendUnreachable(Exception):
    """Raised by an application before its response starts: the middleware tries another node. Frameworks may make an
    error page of it, which is held back."""
