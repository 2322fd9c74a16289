"""Randomized fault-injection soak test: real relays on loopback, with simulated clients, backends and discovery.

The peers and the system misbehave by a seeded plan; an oracle judges each request from the traffic alone.

Run `python -m benchmarks.soak --help` for the options; docs/soak.md is the operators' page.
"""
