"""The relay as a process: start, signals, reload, shutdown, and the wiring of its parts."""
