"""The runtime: passes events to the reducer one at a time, carries out its effects and detects event loop stalls."""

from yarrowspindle.runtime.runtime import Front, Runtime
from yarrowspindle.runtime.timers import Clock, NoTimers, SystemClock, Timers

__all__ = ["Clock", "Front", "NoTimers", "Runtime", "SystemClock", "Timers"]
