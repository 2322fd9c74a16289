"""The daemon: configuration, wiring, clock, timers, signals and the log."""
