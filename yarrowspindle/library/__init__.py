"""Library that places connections from inside a host application. `docs/library.md` shows its use."""

import warnings

from yarrowspindle.library.errors import BackendDropped, Failed, PlacementError, PlacerClosed, Rejected, WrongContext
from yarrowspindle.library.placement import Placement
from yarrowspindle.library.placer import Placer
from yarrowspindle.library.settings import ConnectionClass, LibrarySettings, SettingError
from yarrowspindle.library.sources import CallbackList, Source, StaticList, WatchedList
from yarrowspindle.routing.events import Endpoint
from yarrowspindle.routing.termination import TerminationReason

__all__ = [
    "BackendDropped",
    "CallbackList",
    "ConnectionClass",
    "Endpoint",
    "Failed",
    "LibrarySettings",
    "Placement",
    "PlacementError",
    "Placer",
    "PlacerClosed",
    "Rejected",
    "SettingError",
    "Source",
    "StaticList",
    "TerminationReason",
    "WatchedList",
    "WrongContext",
]


class _Ending:
    """The members that the enum `Ending` had in version 0.1.0, and their current equivalents."""

    SERVED = TerminationReason.COMPLETED
    SENT_AWAY = TerminationReason.BACKEND_DRAINING
    TURNED_AWAY = TerminationReason.REJECTED
    ERRED = TerminationReason.BACKEND_ERROR
    NOT_UNDERSTOOD = TerminationReason.PROTOCOL_ERROR
    UNREACHED = TerminationReason.CONNECT_FAILED
    BROKEN = TerminationReason.CONNECTION_RESET
    SILENT = TerminationReason.UNRESPONSIVE
    NODE_GONE = TerminationReason.BACKEND_REMOVED
    EXPIRED = TerminationReason.IDLE_EXPIRED
    OVERDUE = TerminationReason.DEADLINE_EXCEEDED
    STALLED = TerminationReason.EVENT_LOOP_STALLED
    SUBMITTER_LEFT = TerminationReason.CLIENT_DISCONNECTED
    MOVED = TerminationReason.MIGRATED
    NEVER_SENT = TerminationReason.NOT_SENT


# Names of version 0.1.0, to be removed in the next version: deprecated name -> its object and its current name.
_DEPRECATED: dict[str, tuple[type, str]] = {
    "Closing": (PlacerClosed, "PlacerClosed"),
    "Ending": (_Ending, "TerminationReason"),
    "JobClass": (ConnectionClass, "ConnectionClass"),
    "Machine": (Endpoint, "Endpoint"),
    "NodeDropped": (BackendDropped, "BackendDropped"),
    "Refused": (Rejected, "Rejected"),
}


def __getattr__(name: str) -> type:
    """Return the object of a deprecated name and issue a `DeprecationWarning`.

    Raises:
        AttributeError: The module has no such name.
    """
    if name not in _DEPRECATED:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    target, current_name = _DEPRECATED[name]
    warnings.warn(f"{__name__}.{name} is now called {current_name}", DeprecationWarning, stacklevel=2)
    return target
