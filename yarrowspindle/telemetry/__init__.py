"""Figures, invariant checks and debug lines, from what the core receives and decides."""

from yarrowspindle.telemetry.counts import Telemetry

__all__ = ["Telemetry"]
