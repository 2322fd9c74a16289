"""Figures for operators, counted from what the reducer decides, so that they add up."""

from yarrowspindle.telemetry.counts import Telemetry

__all__ = ["Telemetry"]
