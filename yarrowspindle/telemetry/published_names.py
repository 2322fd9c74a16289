"""The names under which metrics, logs and health checks publish events, effects, reasons and phases.

Operators' tools read these names, so they must not change when a class or enum member is renamed.
"""

from __future__ import annotations

from collections.abc import Mapping

from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.routing import effects, events
from yarrowspindle.routing.state import Phase
from yarrowspindle.routing.termination import TerminationReason

EVENTS: Mapping[type, str] = {
    events.RequestReceived: "JobArrived",
    events.ClientDisconnected: "SubmitterLeft",
    events.EndpointsUpdated: "ListTold",
}

EFFECTS: Mapping[type, str] = {
    effects.OpenBackendConnection: "Reach",
    effects.ForwardRequest: "Ask",
    effects.StartRelaying: "Join",
    effects.RejectRequest: "Requeue",
    effects.FailRequest: "Deny",
    effects.MigrateConnection: "Move",
    effects.CloseClientConnection: "Close",
}

TERMINATION_REASONS: Mapping[TerminationReason, str] = {
    TerminationReason.COMPLETED: "served",
    TerminationReason.BACKEND_DRAINING: "sent_away",
    TerminationReason.REJECTED: "turned_away",
    TerminationReason.BACKEND_ERROR: "erred",
    TerminationReason.PROTOCOL_ERROR: "not_understood",
    TerminationReason.CONNECT_FAILED: "unreached",
    TerminationReason.CONNECTION_RESET: "broken",
    TerminationReason.UNRESPONSIVE: "silent",
    TerminationReason.BACKEND_REMOVED: "node_gone",
    TerminationReason.IDLE_EXPIRED: "expired",
    TerminationReason.DEADLINE_EXCEEDED: "overdue",
    TerminationReason.EVENT_LOOP_STALLED: "stalled",
    TerminationReason.CLIENT_DISCONNECTED: "submitter_left",
    TerminationReason.MIGRATED: "moved",
    TerminationReason.NOT_SENT: "never_sent",
}

PHASES: Mapping[Phase, str] = {
    Phase.QUEUED: "held",
    Phase.CONNECTING: "reaching",
    Phase.AWAITING_RESPONSE: "asked",
    Phase.ESTABLISHED: "open",
}


def reason_name(reason: RejectionReason | TerminationReason | None) -> str:
    """Return the published name of the reason for an answer, a migration or an aborted attempt; "none" if unset."""
    if reason is None:
        return "none"
    return reason.value if isinstance(reason, RejectionReason) else TERMINATION_REASONS[reason]
