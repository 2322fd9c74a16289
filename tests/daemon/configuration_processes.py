"""Controllers as processes on loopback, and relay processes that are attached to them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from tests.ports import loopback_prefix
from tests.stand_ins import ROOT, SETTINGS, TIMEOUT_S, RelayEnvironment, relay
from yarrowspindle.commands.configuration import main
from yarrowspindle.configuration.codec import APPLIED_SETTINGS_FILE
from yarrowspindle.configuration.effects import Persist
from yarrowspindle.daemon.shared_settings import entry_value, read_platform_settings
from yarrowspindle.routing.address import Address
from yarrowspindle.storage.durable_file import DurableFile

CHAT = dict(SETTINGS["categories"][0])
ENTRIES = read_platform_settings(SETTINGS).entries
# A deadline of a client this long is accepted only if the class's deadline is 1.5 s or more.
LONG_DEADLINE_MS = 2500
address_numbers = iter(range(1 << 16))


def unused_address() -> Address:
    """Return an unused address on a loopback network of this process, so that parallel runs do not conflict."""
    number = next(address_numbers)
    return f"{loopback_prefix()}.{1 + number // 250 % 250}.{1 + number % 250}", 7946


def address_text(address: Address) -> str:
    """Return an address in the form of the settings."""
    return f"{address[0]}:{address[1]}"


def deadline_change(deadline_ms: float) -> str:
    """Return the argument of `control set` that gives the class this deadline."""
    return f"categories={entry_value([CHAT | {'deadline_ms': deadline_ms}])}"


class ControllerProcess:
    """One controller, whose process can be started several times."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name, self.folder = name, folder
        self.address, self.command = unused_address(), unused_address()
        self.advertised_address = self.address  # the address at which other processes connect to it
        self.process: asyncio.subprocess.Process
        self.log: asyncio.Queue[str] = asyncio.Queue()
        self.log_lines: list[str] = []
        self.reading: asyncio.Task[None] | None = None

    @property
    def directory(self) -> Path:
        """The directory of its files."""
        return self.folder / self.name

    def environment(self, controller_tables: str, cluster: str) -> dict[str, str]:
        """Write the operator's file, and return the environment of a process that uses it."""
        file = self.folder / f"{self.name}.toml"
        file.write_text(
            f'[control]\nrole = "controller"\nlisten = "{address_text(self.address)}"\ncluster = "{cluster}"\n'
            f'advertise = "{address_text(self.advertised_address)}"\ndirectory = "{self.directory}"\n'
            f'command = "{address_text(self.command)}"\n{controller_tables}'
        )
        inherited = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
        return inherited | {"YARROWSPINDLE_OPERATOR": str(file)}

    async def start(self, env: dict[str, str]) -> None:
        """Start the process and wait until it accepts commands."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "yarrowspindle", cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
        )
        self.reading = asyncio.ensure_future(self._read())
        await self.next_log_line("commands are accepted")

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := (await self.process.stderr.readline()).decode():
            self.log_lines.append(line)
            self.log.put_nowait(line)

    async def next_log_line(self, text: str) -> str:
        """Wait for the next log line that contains the text."""
        while text not in (line := await asyncio.wait_for(self.log.get(), TIMEOUT_S)):
            pass
        return line

    async def wait_for_log(self, text: str, first_index: int = 0) -> None:
        """Wait for a log line that contains the text, among those from `first_index` on, including past lines."""
        deadline = time.monotonic() + TIMEOUT_S
        while not any(text in line for line in self.log_lines[first_index:]):
            assert time.monotonic() < deadline, self.log_lines
            await asyncio.sleep(0.05)

    async def end(self, signal_number: signal.Signals = signal.SIGKILL) -> None:
        """End the process if it is running, and read the rest of its log."""
        if self.process.returncode is None:
            self.process.send_signal(signal_number)
            await asyncio.wait_for(self.process.wait(), TIMEOUT_S)
        if self.reading is not None:
            await self.reading


class ControllerCluster:
    """The controllers of a cluster, and the operator's files of its relays."""

    def __init__(self, folder: Path, names: list[str], name: str = "lab") -> None:
        self.folder, self.name = folder, name
        self.controllers = [ControllerProcess(controller_name, folder) for controller_name in names]

    @property
    def controller_tables(self) -> str:
        """The tables of the controllers in an operator's file."""
        return "".join(
            f'[[control.machine]]\nname = "{controller.name}"\n'
            f'address = "{address_text(controller.advertised_address)}"\nvoter = true\n'
            for controller in self.controllers
        )

    def relay(self, name: str, extra: str = "", at: Address | None = None) -> str:
        """Return the text of a relay's operator's file."""
        return (
            f'[control]\nrole = "relay"\nlisten = "{address_text(at or unused_address())}"\nname = "{name}"\n'
            f'cluster = "{self.name}"\ndirectory = "{self.folder}/{name}-kept"\n{extra}{self.controller_tables}'
        )

    def file(self, name: str) -> DurableFile[Persist]:
        """Return the file with the settings that a relay has applied."""
        return DurableFile(f"{self.folder}/{name}-kept", name, self.name, "taken", APPLIED_SETTINGS_FILE)

    async def run_command(self, at: int, *words: str) -> int:
        """Run an operator's command at a controller and return its exit status."""
        return await asyncio.to_thread(main, ["--at", address_text(self.controllers[at].command), *words])

    async def show(self, at: int, capsys: pytest.CaptureFixture[str]) -> dict[str, Any]:
        """Return the status of a controller."""
        capsys.readouterr()
        assert await self.run_command(at, "show", "--json") == 0
        status: dict[str, Any] = json.loads(capsys.readouterr().out)
        return status

    async def wait_until_applied(
        self, at: int, version: int, relays: int, capsys: pytest.CaptureFixture[str]
    ) -> dict[str, Any]:
        """Wait until this many relays have applied a version, and return the status."""
        deadline = time.monotonic() + TIMEOUT_S
        while True:
            status = await self.show(at, capsys)
            if status["in_force"] >= version and status["relays"] == relays:
                return status
            assert time.monotonic() < deadline, status
            await asyncio.sleep(0.05)


@asynccontextmanager
async def running_cluster(
    folder: Path,
    names: list[str],
    name: str = "lab",
    create_files: bool = True,
    existing: ControllerCluster | None = None,
) -> AsyncIterator[ControllerCluster]:
    """Run controllers, and check at the end that none has logged a traceback.

    create_files: whether to create the voters' files. existing: a cluster to run instead of a new one.
    """
    existing = existing or ControllerCluster(folder, names, name)
    try:
        for controller in existing.controllers:
            if create_files:
                with pytest.MonkeyPatch.context() as patch:
                    patch.setenv(
                        "YARROWSPINDLE_OPERATOR",
                        controller.environment(existing.controller_tables, name)["YARROWSPINDLE_OPERATOR"],
                    )
                    assert main(["init"]) == 0
        await asyncio.gather(
            *(
                controller.start(controller.environment(existing.controller_tables, name))
                for controller in existing.controllers
            )
        )
        yield existing
    finally:
        await asyncio.gather(
            *(controller.end() for controller in existing.controllers if hasattr(controller, "process"))
        )
        log = "".join(line for controller in existing.controllers for line in controller.log_lines)
        assert "Traceback" not in log, log


async def start_relays(stack: AsyncExitStack, tmp: Path, operators: list[str]) -> list[RelayEnvironment]:
    """Start a relay for each operator's file."""
    folders = [tmp / f"relay{n}" for n in range(len(operators))]
    for folder in folders:
        folder.mkdir()
    starting = [stack.enter_async_context(relay(*pair)) for pair in zip(folders, operators, strict=True)]
    return list(await asyncio.gather(*starting))


async def wait_until_all_applied(envs: list[RelayEnvironment], version: int) -> None:
    """Wait until all of these relays have logged that they applied a version."""
    await asyncio.gather(*(env.next_log_line(f"applied version {version};") for env in envs))


async def is_placed(env: RelayEnvironment, deadline_ms: int) -> bool:
    """Return whether a request with this deadline is placed."""
    client = await env.open_request(deadline_ms=deadline_ms)
    answered = asyncio.ensure_future(client.read_line())
    placed = [asyncio.ensure_future(backend.next_connection()) for backend in env.backends.values()]
    done, _ = await asyncio.wait((answered, *placed), return_when=asyncio.FIRST_COMPLETED, timeout=TIMEOUT_S)
    for task in (answered, *placed):
        task.cancel()
    if answered in done:
        assert answered.result() == "ERR"
        return False
    assert done
    client.writer.close()
    return True


def environment_of(cluster: ControllerCluster, number: int) -> dict[str, str]:
    """Return the environment of a controller's process."""
    return cluster.controllers[number].environment(cluster.controller_tables, cluster.name)


async def status_text(cluster: ControllerCluster, capsys: pytest.CaptureFixture[str]) -> str:
    """Return the printed status of the third controller."""
    capsys.readouterr()
    assert await cluster.run_command(2, "show") == 0
    return capsys.readouterr().out
