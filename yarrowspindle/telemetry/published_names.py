"""The names under which metrics, logs and probes publish events, effects, endings and phases.

Operators' tools read these names, so they stay as they are whatever the classes and enum members are called.
"""

from __future__ import annotations

from collections.abc import Mapping

from yarrowspindle.decisions.rejection import Refusal
from yarrowspindle.routing import effects, events
from yarrowspindle.routing.state import Phase
from yarrowspindle.routing.termination import Ending

EVENTS: Mapping[type, str] = {
    events.JobArrived: "JobArrived",
    events.SubmitterLeft: "SubmitterLeft",
    events.ListTold: "ListTold",
}

EFFECTS: Mapping[type, str] = {
    effects.Reach: "Reach",
    effects.Ask: "Ask",
    effects.Join: "Join",
    effects.Requeue: "Requeue",
    effects.Deny: "Deny",
    effects.Move: "Move",
    effects.Close: "Close",
}

ENDINGS: Mapping[Ending, str] = {
    Ending.SERVED: "served",
    Ending.SENT_AWAY: "sent_away",
    Ending.TURNED_AWAY: "turned_away",
    Ending.ERRED: "erred",
    Ending.NOT_UNDERSTOOD: "not_understood",
    Ending.UNREACHED: "unreached",
    Ending.BROKEN: "broken",
    Ending.SILENT: "silent",
    Ending.NODE_GONE: "node_gone",
    Ending.EXPIRED: "expired",
    Ending.OVERDUE: "overdue",
    Ending.STALLED: "stalled",
    Ending.SUBMITTER_LEFT: "submitter_left",
    Ending.MOVED: "moved",
    Ending.NEVER_SENT: "never_sent",
}

PHASES: Mapping[Phase, str] = {
    Phase.HELD: "held",
    Phase.REACHING: "reaching",
    Phase.ASKED: "asked",
    Phase.OPEN: "open",
}


def reason(why: Refusal | Ending | None) -> str:
    """The published name of the reason that an answer, a move or an aborted attempt carries."""
    if why is None:
        return "none"
    return why.value if isinstance(why, Refusal) else ENDINGS[why]
