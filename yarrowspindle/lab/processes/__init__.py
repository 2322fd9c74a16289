"""Several real processes of the program on loopback, with faults put between them from a seed, and a checker that
sees only wires and clients: `python -m yarrowspindle.lab.processes --help`."""

from yarrowspindle.lab.processes.environment import run_scenario
from yarrowspindle.lab.processes.run import Report, Run

__all__ = ["Report", "Run", "run_scenario"]
