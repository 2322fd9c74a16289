"""The relay's core, without I/O: a reducer that turns events into effects.

It keeps the state of requests and backends and asks the balancer for each decision.
"""
