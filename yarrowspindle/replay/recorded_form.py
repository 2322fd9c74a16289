"""Mapping between the names of events and fields in a recorded sequence and their names in the code.

A sequence is stored data. This build has to read sequences that older builds recorded, so that the recorded names do
not change when a class or field is renamed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields, is_dataclass
from functools import cache
from types import UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

from yarrowspindle.decisions.events import PeerLoads
from yarrowspindle.decisions.settings import RequestClass, Settings
from yarrowspindle.rebalancing import RebalanceSettings
from yarrowspindle.routing import events
from yarrowspindle.routing.termination import TerminationReason


@dataclass(slots=True)
class RecordedRebalance:
    """The fields of `events.RebalancingConfigured`, whose module imports RebalanceSettings for type checking only.

    Decoding needs that type at run time.
    """

    settings: RebalanceSettings | None
    seed: int = 0


EVENTS: Mapping[str, type] = {
    "JobArrived": events.RequestReceived,
    "SubmitterLeft": events.ClientDisconnected,
    "OutOfTurn": events.UnexpectedClientData,
    "NodeReached": events.BackendConnected,
    "NodeUp": events.BackendAccepted,
    "DataDelayed": events.BackendDataDelayed,
    "AttemptOver": events.AttemptEnded,
    "LoadTold": events.LoadReported,
    "FigureTold": events.UnclassifiedReport,
    "Asked": events.ClientDataForwarded,
    "Answered": events.BackendDataForwarded,
    "ListTold": events.EndpointsUpdated,
    "Woke": events.TimerFired,
    "Stop": events.ShutdownRequested,
    "SuccessorServing": events.SuccessorServing,
    "Reloaded": events.DiscoveryAddressChanged,
    "Stalled": events.EventLoopStalled,
    "OthersTold": events.PeerLoadsUpdated,
    "Rebalance": RecordedRebalance,
}

EVENT_NAMES: Mapping[type, str] = {event_type: name for name, event_type in EVENTS.items()} | {
    events.RebalancingConfigured: "Rebalance"
}

# By type, the recorded names of the fields whose names in the code differ.
FIELDS: Mapping[type, Mapping[str, str]] = {
    Settings: {
        "backend_reports_latency": "tells_delay",
        "backend_reports_load": "tells_load",
        "can_gossip": "may_tell",
        "capacity_excludes_load": "live_weights",
        "clients_heed_retry_after": "retry_after",
        "groups_share_work": "groups",
        "initial_capacity_fraction": "cold_share",
        "load_report_fields": "report",
        "over_quota_priority_weight": "over_share_worth",
        "overload_multiple": "fall_multiple",
        "overload_window_ms": "fall_ms",
        "poll_interval_ms": "ask_within_ms",
        "polls_discovery": "asks",
        "slow_message_ms": "slow_ms",
        "uses_own_load": "by_own_load",
        "warmup_ms": "cold_ms",
    },
    RequestClass: {
        "deduplication_scope": "group",
        "idempotency": "effect",
        "idempotency_window_ms": "window_ms",
        "message_latency_objective_ms": "message_aim_ms",
        "priority_weight": "worth",
        "setup_latency_objective_ms": "aim_ms",
    },
    PeerLoads: {
        "connection_changes": "came",
        "ejected_by_peers": "shunned",
        "loads": "holds",
        "relays": "balancers",
        "reporting_relays": "heard",
    },
    events.RequestReceived: {
        "client_request_id": "ref",
        "previous_backend": "at",
        "remaining_ms": "left_ms",
        "request": "job",
        "request_class": "cls",
    },
    events.ClientDisconnected: {"request": "job"},
    events.UnexpectedClientData: {"request": "job"},
    events.BackendConnected: {"request": "job"},
    events.BackendAccepted: {"request": "job"},
    events.BackendDataDelayed: {"request": "job"},
    events.AttemptEnded: {"reason": "ending", "request": "job"},
    events.LoadReported: {"request": "job"},
    events.UnclassifiedReport: {"request": "job"},
    events.ClientDataForwarded: {"request": "job"},
    events.BackendDataForwarded: {"request": "job"},
    events.EndpointsUpdated: {"endpoints": "machines", "since_last_update_ms": "quiet_ms"},
    events.TimerFired: {"timer": "what"},
    events.ShutdownRequested: {"process_exits": "exits", "time_limit_ms": "within_ms"},
    events.EventLoopStalled: {"duration_ms": "for_ms"},
    events.DiscoveryAddressChanged: {"address": "list_at"},
    events.PeerLoadsUpdated: {"loads": "others"},
}

# The texts that represent the termination reasons of attempts in a sequence.
ENDINGS: Mapping[TerminationReason, str] = {
    TerminationReason.COMPLETED: "the execute node served it to its end",
    TerminationReason.BACKEND_DRAINING: "the execute node asked the submitter to come again",
    TerminationReason.REJECTED: "the execute node took it for nothing: full, draining, or no time left",
    TerminationReason.BACKEND_ERROR: "the execute node answered with an error",
    TerminationReason.PROTOCOL_ERROR: "the execute node answered with nothing that the protocol knows",
    TerminationReason.CONNECT_FAILED: "no connection came up, or it broke before all was sent",
    TerminationReason.CONNECTION_RESET: "the connection to the execute node broke or ended",
    TerminationReason.UNRESPONSIVE: "the execute node brought nothing back for too long",
    TerminationReason.BACKEND_REMOVED: "the machine list says that the execute node is gone",
    TerminationReason.IDLE_EXPIRED: "nothing came from either side for so long that it must have ended",
    TerminationReason.DEADLINE_EXCEEDED: "the relay stopped waiting: the deadline has passed",
    TerminationReason.EVENT_LOOP_STALLED: (
        "the deadline passed while this process stood still: nobody knows what the execute node did"
    ),
    TerminationReason.CLIENT_DISCONNECTED: "the submitter left, or its connection broke",
    TerminationReason.MIGRATED: "the relay told the submitter to come again",
    TerminationReason.NOT_SENT: "nothing was sent: the execute node drains or is gone, or there was no time",
}
ENDINGS_BY_TEXT: Mapping[str, TerminationReason] = {text: ending for ending, text in ENDINGS.items()}

_NO_FIELDS: Mapping[str, str] = {}


def to_recorded(value: Any) -> Any:
    """Return a value as builtin types under the recorded names, for the JSON encoder."""
    if is_dataclass(value) and not isinstance(value, type):
        recorded_names = FIELDS.get(type(value), _NO_FIELDS)
        return {
            recorded_names.get(data_field.name, data_field.name): to_recorded(getattr(value, data_field.name))
            for data_field in fields(value)
        }
    if isinstance(value, TerminationReason):
        return ENDINGS[value]
    if isinstance(value, list | tuple):
        return [to_recorded(item) for item in value]
    return value


def from_recorded(value_type: Any, data: Any) -> Any:
    """Return decoded JSON under the names of the code, for conversion to a type.

    Args:
        value_type: The type of the value; the caller checks that the data has it.
        data: The decoded JSON under the recorded names.
    """
    if get_origin(value_type) in (Union, UnionType):
        value_type = next((member for member in get_args(value_type) if is_dataclass(member)), value_type)
    if isinstance(data, dict) and is_dataclass(value_type) and isinstance(value_type, type):
        code_names: dict[str, str] = _code_names(value_type)
        hints = _type_hints(value_type)
        renamed = {code_names.get(str(name), str(name)): item for name, item in data.items()}
        return {name: from_recorded(hints.get(name), item) for name, item in renamed.items()}
    if value_type is TerminationReason and isinstance(data, str):
        return ENDINGS_BY_TEXT.get(data, data)
    if isinstance(data, list) and get_origin(value_type) in (list, tuple):
        return [from_recorded(get_args(value_type)[0], item) for item in data]
    return data


@cache
def _code_names(value_type: Any) -> dict[str, str]:
    return {recorded: name for name, recorded in FIELDS.get(value_type, _NO_FIELDS).items()}


@cache
def _type_hints(value_type: Any) -> dict[str, Any]:
    return get_type_hints(value_type)
