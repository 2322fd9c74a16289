"""The processes of a relay and a controller: start, signals, reload, shutdown and the wiring of their parts."""
