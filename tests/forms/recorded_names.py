"""Effects as the recorded hashes of `tests/test_peers_off.py` saw them: under the names of that time."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from enum import Enum

from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.replay.recorded_form import ENDINGS
from yarrowspindle.routing import effects
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.telemetry.published_names import TERMINATION_REASONS

# Class -> its recorded name, and its fields' recorded names where they differ.
CLASSES: Mapping[type, tuple[str, Mapping[str, str]]] = {
    effects.OpenBackendConnection: ("Reach", {"request": "job", "backend": "node", "timeout_ms": "within_ms"}),
    effects.ForwardRequest: ("Ask", {"request": "job", "remaining_ms": "left_ms"}),
    effects.AbortAttempt: ("Drop", {"request": "job", "reason": "why"}),
    effects.StartRelaying: ("Join", {"request": "job"}),
    effects.RejectRequest: ("Requeue", {"request": "job", "reason": "why", "retry_after_ms": "after_ms"}),
    effects.FailRequest: ("Deny", {"request": "job", "reason": "why"}),
    effects.MigrateConnection: ("Move", {"request": "job", "reason": "why"}),
    effects.CloseClientConnection: ("Close", {"request": "job", "reason": "ending"}),
    effects.SetTimer: ("Wake", {"timer": "what"}),
    effects.CancelTimer: ("Unwake", {"timer": "what"}),
    effects.WatchEndpoints: ("Watch", {}),
    effects.CheckHealth: ("Probe", {"backend": "node", "timeout_ms": "within_ms"}),
    effects.CancelHealthCheck: ("Unprobe", {"backend": "node"}),
    effects.BackendRemoved: ("NodeGone", {"backend": "node"}),
    effects.LogMessage: ("Note", {}),
}

# Reason -> the recorded name of its enum member.
REJECTIONS: Mapping[RejectionReason, str] = {reason: reason.value.upper() for reason in RejectionReason}
TERMINATIONS: Mapping[TerminationReason, str] = {reason: name.upper() for reason, name in TERMINATION_REASONS.items()}


def recorded_repr(value: object) -> str:
    """The `repr` of effects, or of a list of them, with the recorded names."""
    if isinstance(value, list):
        return f"[{', '.join(recorded_repr(item) for item in value)}]"
    if isinstance(value, Enum):
        return _enum_repr(value)
    if is_dataclass(value) and not isinstance(value, type):
        name, renamed = CLASSES[type(value)]
        parts = (f"{renamed.get(f.name, f.name)}={recorded_repr(getattr(value, f.name))}" for f in fields(value))
        return f"{name}({', '.join(parts)})"
    return repr(value)


def _enum_repr(value: Enum) -> str:
    if isinstance(value, RejectionReason):
        return f"<Refusal.{REJECTIONS[value]}: {value.value!r}>"
    if isinstance(value, TerminationReason):
        return f"<Ending.{TERMINATIONS[value]}: {ENDINGS[value]!r}>"
    return repr(value)
