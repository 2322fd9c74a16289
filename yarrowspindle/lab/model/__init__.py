"""A fleet on virtual time round the real reducers of several relays; no sockets, and the same run for the same seed."""

from yarrowspindle.lab.model.backend import ModelBackend
from yarrowspindle.lab.model.fleet import Fleet, FleetSpec, ModelClass
from yarrowspindle.lab.model.rules import RuleViolation

__all__ = ["Fleet", "FleetSpec", "ModelBackend", "ModelClass", "RuleViolation"]
