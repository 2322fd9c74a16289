"""Runs real relay processes on loopback, injects faults between them and checks their behavior from outside.

The checker sees only network traffic and the answers to clients. Usage: `python -m yarrowspindle.lab.processes --help`.
"""

from yarrowspindle.lab.processes.environment import run_scenario
from yarrowspindle.lab.processes.run import Report, Run

__all__ = ["Report", "Run", "run_scenario"]
