"""A randomized fault soak: real relays on loopback among stand-ins that misbehave, judged from outside by what passed.

`python -m benchmarks.soak --help`; the operators' page is docs/soak.md.
"""
