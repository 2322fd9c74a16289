"""The library: places connections from inside a host application. `docs/library.md` shows how."""

import warnings

from yarrowspindle.library.errors import BackendDropped, Failed, PlacementError, PlacerClosed, Rejected, WrongContext
from yarrowspindle.library.placer import Placement, Placer
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

# Names of version 0.1.0, which the next version no longer has.
_DEPRECATED: dict[str, type] = {
    "Closing": PlacerClosed,
    "Ending": TerminationReason,
    "JobClass": ConnectionClass,
    "Machine": Endpoint,
    "NodeDropped": BackendDropped,
    "Refused": Rejected,
}


def __getattr__(name: str) -> type:
    """Gives what a deprecated name stands for, with a `DeprecationWarning`."""
    if name not in _DEPRECATED:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    current = _DEPRECATED[name]
    warnings.warn(f"{__name__}.{name} is now called {current.__name__}", DeprecationWarning, stacklevel=2)
    return current
