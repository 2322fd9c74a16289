"""Counters, invariant checks and debug traces from the reducer's events and effects; log; published names."""

from yarrowspindle.telemetry.counts import Telemetry

__all__ = ["Telemetry"]
