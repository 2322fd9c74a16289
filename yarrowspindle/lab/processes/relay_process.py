"""One relay of a run: its configuration files, its process, which may be restarted, and its log."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from yarrowspindle.daemon.voter_file import MaintenanceVoterFile
from yarrowspindle.lab.processes.run import SETTINGS
from yarrowspindle.routing.address import Address

if TYPE_CHECKING:
    from yarrowspindle.lab.processes.environment import Environment

START_TIMEOUT_S = 15.0  # a relay that does not serve within this time has failed to start
STOP_TIMEOUT_S = 6.0  # a relay that has not ended within this time after SIGTERM is killed
MAX_LOG_LINES = 20_000  # further lines are not stored
ROOT = Path(__file__).resolve().parents[3]


class RelayProcess:
    """One relay and its current process.

    Args:
        name: name of the relay.
        index: number of the relay, which gives its zone, slot and address.
        environment: the environment that it runs in.
    """

    def __init__(self, name: str, index: int, environment: Environment) -> None:
        self.name, self.index, self.environment = name, index, environment
        self.client_address = environment.reserve_address(index)
        # Other relays reach the peer address only through the proxy at the advertised address.
        self.peer_address, self.advertised_address = (
            environment.reserve_address(index),
            environment.reserve_address(index),
        )
        self.discovery_address, self.command_address = (
            environment.reserve_address(index),
            environment.reserve_address(index),
        )
        self.process: asyncio.subprocess.Process | None = None
        self.log_task: asyncio.Task[None] | None = None
        self.log_lines: list[str] = []
        self.serving = asyncio.Event()
        self.incarnations = 0
        self.suspended = False

    @property
    def is_serving(self) -> bool:
        """Whether the process runs and has logged that it serves."""
        return self.serving.is_set() and self.process is not None and self.process.returncode is None

    def write_configuration(self) -> dict[str, str]:
        """Write the configuration files and return the environment variables that name them."""
        run, environment, directory = self.environment.run, self.environment, self.environment.directory
        obligations = run.obligations
        settings = SETTINGS | {
            "zone": self.index % 2,
            "slot_no": self.index,
            "balancers": run.relays,
            "obligations": {
                "drain_grace_ms": 1000.0 * obligations.drain_grace_s,
                "answer_slack_ms": 50.0,
                "ask_within_ms": 200.0,
                "cold_share": obligations.initial_capacity_fraction,
                "cold_ms": 1000.0 * obligations.slow_start_s,
                "fall_multiple": obligations.overload_multiple,
                "fall_ms": 1000.0 * obligations.overload_window_s,
            },
        }
        configuration = {
            "name": self.name,
            "listen": address_text(self.client_address),
            "discovery": address_text(self.discovery_address),
            "seed": f"{run.seed * 1000 + self.index * 10 + self.incarnations:x}",
            "settings": settings,
            "known": environment.endpoint_list.full_list(self.name) | {"revision": 1},
            "limits": {"sockets": 0},
        }
        config_file, operator_file = directory / f"{self.name}.json", directory / f"{self.name}.toml"
        config_file.write_text(json.dumps(configuration))
        seeds = ", ".join(f'"{address_text(relay.advertised_address)}"' for relay in environment.relays[:2])
        operator_file.write_text(
            f'[peers]\nlisten = "{address_text(self.peer_address)}"\n'
            f'advertise = "{address_text(self.advertised_address)}"\n'
            f'seeds = [{seeds}]\ncluster = "{self.cluster}"\n{self.maintenance_section()}'
            if run.peers
            else ""
        )
        return {
            "ROUTER_CONFIG": str(config_file),
            "YARROWSPINDLE_OPERATOR": str(operator_file),
            "TMPDIR": str(directory),
        }

    @property
    def cluster(self) -> str:
        """Name of the cluster whose members are the relays of this run."""
        return f"lab-{self.environment.run.seed}"

    @property
    def voter_file(self) -> MaintenanceVoterFile:
        """The relay's voter file, which exists only if the relay votes on maintenance."""
        return MaintenanceVoterFile(str(self.environment.directory / f"{self.name}-turns"), self.name, self.cluster)

    def maintenance_section(self) -> str:
        """Return the `[turns]` section of the operator's file, which is empty if there are no voters.

        Before a voter's first start it also creates the voter file, as `turns init` does.
        """
        run, voters = self.environment.run, self.environment.voters
        if not voters:
            return ""
        if self.name in voters and self.incarnations == 1:
            self.voter_file.initialize(voters)
        return (
            f'[turns]\ndirectory = "{self.voter_file.directory}"\nvoters = {json.dumps(voters)}\n'
            f'command = "{address_text(self.command_address)}"\nmoves_per_s = {run.moves_per_s}\n'
        )

    async def start(self) -> None:
        """Start a process and wait until it serves; report a violation if it does not."""
        self.incarnations += 1
        self.serving.clear()
        variables = self.write_configuration()
        env = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")} | variables
        self.environment.checker.relay_started(self.name)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-m",
            "yarrowspindle",
            cwd=ROOT,
            env=env,
            stderr=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.DEVNULL,
        )
        self.log_task = asyncio.ensure_future(self._read_log(self.process))
        serving_task = asyncio.ensure_future(self.serving.wait())
        await asyncio.wait([serving_task, self.log_task], timeout=START_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        serving_task.cancel()
        if not self.is_serving:
            self.environment.checker.report_violation("starts", f"{self.name} does not serve")
        else:
            self.environment.checker.relay_resumed(self.name)

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        """Store the log lines, and react to those that tell the relay's state."""
        assert process.stderr is not None
        while line := (await process.stderr.readline()).decode("utf-8", "replace").rstrip():
            if len(self.log_lines) < MAX_LOG_LINES:
                self.log_lines.append(f"{self.environment.now():7.3f} {line}")
            if " turns: turn " in line:
                self.environment.on_turn_log(self.name, line.partition(" turns: ")[2])
            if "serves at" in line:
                self.serving.set()
            if "Traceback" in line:
                self.environment.checker.report_violation("no failure", f"{self.name} logged a traceback")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process (SIGKILL) and wait for its end."""
        self.environment.checker.relay_suspended(self.name)
        self.serving.clear()
        self.send_signal(signal.SIGKILL)
        await self.wait_ended()

    async def wait_ended(self) -> None:
        """Wait until the process has ended and its log is read."""
        if self.process is not None:
            await self.process.wait()
        if self.log_task is not None:
            await self.log_task

    def suspend(self) -> None:
        """Suspend the process (SIGSTOP)."""
        self.environment.checker.relay_suspended(self.name)
        self.suspended = True
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process (SIGCONT)."""
        self.suspended = False
        self.send_signal(signal.SIGCONT)
        self.environment.checker.relay_resumed(self.name)

    async def restart(self, downtime_s: float) -> None:
        """Terminate the process (SIGTERM) and start a new one.

        A terminating relay tells its clients to move to other relays, and must not lose any of them.

        Args:
            downtime_s: time between the end of the process and the new start.
        """
        self.serving.clear()  # clients choose other relays from now on
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.wait_ended(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.environment.checker.report_violation(
                "ends", f"{self.name} has not ended {STOP_TIMEOUT_S:g} s after SIGTERM"
            )
            await self.kill()
        self.environment.checker.relay_suspended(self.name)
        await asyncio.sleep(downtime_s)
        await self.start()


def address_text(address: Address) -> str:
    """Return the address as host:port, as the settings write it."""
    return f"{address[0]}:{address[1]}"
