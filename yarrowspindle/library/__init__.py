"""The library: places connections from inside a host application. `docs/library.md` shows how."""

from yarrowspindle.library.errors import Closing, Failed, NodeDropped, PlacementError, Refused, WrongContext
from yarrowspindle.library.placer import Placement, Placer
from yarrowspindle.library.settings import JobClass, LibrarySettings, SettingError
from yarrowspindle.library.sources import CallbackList, Source, StaticList, WatchedList
from yarrowspindle.routing.events import Machine
from yarrowspindle.routing.termination import Ending

__all__ = [
    "CallbackList",
    "Closing",
    "Ending",
    "Failed",
    "JobClass",
    "LibrarySettings",
    "Machine",
    "NodeDropped",
    "Placement",
    "PlacementError",
    "Placer",
    "Refused",
    "SettingError",
    "Source",
    "StaticList",
    "WatchedList",
    "WrongContext",
]
