"""Model fleet: the real reducers of several relays on a virtual clock.

Backends, clients, the front, discovery and the network are modelled without sockets. The same seed gives the same run.
"""

from yarrowspindle.lab.model.backend import ModelBackend
from yarrowspindle.lab.model.fleet import Fleet, FleetSpec, ModelClass
from yarrowspindle.lab.model.rules import RuleViolation

__all__ = ["Fleet", "FleetSpec", "ModelBackend", "ModelClass", "RuleViolation"]
