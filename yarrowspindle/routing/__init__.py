"""The core without I/O: events in, effects out. It keeps the state of requests and backends and asks the balancer."""
