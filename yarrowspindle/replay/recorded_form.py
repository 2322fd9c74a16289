"""The names that a recorded sequence uses for events and their fields, mapped to the names of the code.

A sequence is stored data: what an older build recorded has to be read by this one, so the recorded names stay whatever
the classes and fields are called.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields, is_dataclass
from functools import cache
from types import UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

from yarrowspindle.decisions.events import Others
from yarrowspindle.decisions.settings import RequestClass, Settings, Tenant
from yarrowspindle.rebalancing import RebalanceSettings
from yarrowspindle.routing import events
from yarrowspindle.routing.termination import Ending


@dataclass(slots=True)
class RecordedRebalance:
    """As `events.Rebalance`, whose settings the platform does not import."""

    settings: RebalanceSettings | None
    seed: int = 0


EVENTS: Mapping[str, type] = {
    "JobArrived": events.JobArrived,
    "SubmitterLeft": events.SubmitterLeft,
    "OutOfTurn": events.OutOfTurn,
    "NodeReached": events.NodeReached,
    "NodeUp": events.NodeUp,
    "AttemptOver": events.AttemptOver,
    "LoadTold": events.LoadTold,
    "FigureTold": events.FigureTold,
    "Asked": events.Asked,
    "Answered": events.Answered,
    "ListTold": events.ListTold,
    "Woke": events.Woke,
    "Stop": events.Stop,
    "Reloaded": events.Reloaded,
    "Stalled": events.Stalled,
    "OthersTold": events.OthersTold,
    "Rebalance": RecordedRebalance,
}

EVENT_NAMES: Mapping[type, str] = {kind: name for name, kind in EVENTS.items()} | {events.Rebalance: "Rebalance"}

# Type -> name of a field in the code -> its recorded name, where the two differ.
FIELDS: Mapping[type, Mapping[str, str]] = {
    Settings: {},
    RequestClass: {},
    Tenant: {},
    Others: {},
    events.Machine: {},
}

# The texts by which a sequence tells how an attempt ended.
ENDINGS: Mapping[Ending, str] = {
    Ending.SERVED: "the execute node served it to its end",
    Ending.SENT_AWAY: "the execute node asked the submitter to come again",
    Ending.TURNED_AWAY: "the execute node took it for nothing: full, draining, or no time left",
    Ending.ERRED: "the execute node answered with an error",
    Ending.NOT_UNDERSTOOD: "the execute node answered with nothing that the protocol knows",
    Ending.UNREACHED: "no connection came up, or it broke before all was sent",
    Ending.BROKEN: "the connection to the execute node broke or ended",
    Ending.SILENT: "the execute node brought nothing back for too long",
    Ending.NODE_GONE: "the machine list says that the execute node is gone",
    Ending.EXPIRED: "nothing came from either side for so long that it must have ended",
    Ending.OVERDUE: "the relay stopped waiting: the deadline has passed",
    Ending.STALLED: "the deadline passed while this process stood still: nobody knows what the execute node did",
    Ending.SUBMITTER_LEFT: "the submitter left, or its connection broke",
    Ending.MOVED: "the relay told the submitter to come again",
    Ending.NEVER_SENT: "nothing was sent: the execute node drains or is gone, or there was no time",
}
ENDINGS_BY_TEXT: Mapping[str, Ending] = {text: ending for ending, text in ENDINGS.items()}

_NO_FIELDS: Mapping[str, str] = {}


def to_recorded(value: Any) -> Any:
    """A value as builtins under the recorded names, for the JSON encoder."""
    if is_dataclass(value) and not isinstance(value, type):
        names = FIELDS.get(type(value), _NO_FIELDS)
        return {names.get(f.name, f.name): to_recorded(getattr(value, f.name)) for f in fields(value)}
    if isinstance(value, Ending):
        return ENDINGS[value]
    if isinstance(value, list | tuple):
        return [to_recorded(item) for item in value]
    return value


def from_recorded(kind: Any, data: Any) -> Any:
    """The decoded JSON of a value of this type, under the names of the code; its types are checked by the caller."""
    if get_origin(kind) in (Union, UnionType):
        kind = next((one for one in get_args(kind) if is_dataclass(one)), kind)
    if isinstance(data, dict) and is_dataclass(kind) and isinstance(kind, type):
        names: dict[str, str] = _code_names(kind)
        hints = _hints(kind)
        found = {names.get(str(name), str(name)): item for name, item in data.items()}
        return {name: from_recorded(hints.get(name), item) for name, item in found.items()}
    if kind is Ending and isinstance(data, str):
        return ENDINGS_BY_TEXT.get(data, data)
    if isinstance(data, list) and get_origin(kind) in (list, tuple):
        return [from_recorded(get_args(kind)[0], item) for item in data]
    return data


@cache
def _code_names(kind: Any) -> dict[str, str]:
    return {recorded: name for name, recorded in FIELDS.get(kind, _NO_FIELDS).items()}


@cache
def _hints(kind: Any) -> dict[str, Any]:
    return get_type_hints(kind)
