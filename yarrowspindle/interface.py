"""Deprecated: the names that version 0.1.0 had for the balancer's settings, events and actions.

Use `yarrowspindle.decisions.settings`, `.events` and `.actions`; this module is removed in the next version.
"""

from __future__ import annotations

import warnings
from importlib import import_module

_DECISIONS = "yarrowspindle.decisions"
_SETTINGS = ("RequestClass", "Settings", "Tenant")
_EVENTS = ("AttemptEnded", "ListKind", "LoadChanged", "NEVER_RAN", "Outcome", "PeerMessage", "group_key")
_ACTIONS = ("Action", "SetTimer")

# Old name -> module and current name.
_CURRENT: dict[str, tuple[str, str]] = {
    **{name: ("settings", name) for name in _SETTINGS},
    **{name: ("events", name) for name in _EVENTS},
    **{name: ("actions", name) for name in _ACTIONS},
    "Adopted": ("events", "ExistingConnection"),
    "Cancel": ("actions", "CancelAttempt"),
    "ClientGone": ("events", "ClientDisconnected"),
    "Due": ("events", "DeadlineReached"),
    "Effect": ("settings", "Idempotency"),
    "Established": ("events", "ConnectionEstablished"),
    "Event": ("events", "Event"),
    "Fail": ("actions", "FailRequest"),
    "Group": ("settings", "DeduplicationScope"),
    "Levelling": ("events", "RebalancingTarget"),
    "Log": ("actions", "LogMessage"),
    "Move": ("actions", "MigrateConnection"),
    "Others": ("events", "PeerLoads"),
    "Probe": ("actions", "CheckHealth"),
    "Probed": ("events", "HealthCheckCompleted"),
    "Refuse": ("actions", "RejectRequest"),
    "Request": ("events", "RequestReceived"),
    "Retuned": ("events", "SettingsChanged"),
    "SERVER_KEY": ("events", "BACKEND_KEY_MASK"),
    "Send": ("actions", "StartAttempt"),
    "ServerEntry": ("events", "Endpoint"),
    "ServerList": ("events", "EndpointList"),
    "ServerSlow": ("events", "SlowMessageObserved"),
    "State": ("events", "EndpointState"),
    "Subscribe": ("actions", "WatchEndpoints"),
    "TimerDue": ("events", "TimerFired"),
}


def __getattr__(name: str) -> object:
    """Return the object of a deprecated name and issue a `DeprecationWarning`."""
    if name not in _CURRENT:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module, current = _CURRENT[name]
    warnings.warn(f"{__name__}.{name} is now {_DECISIONS}.{module}.{current}", DeprecationWarning, stacklevel=2)
    value: object = getattr(import_module(f"{_DECISIONS}.{module}"), current)
    return value
