"""Controllers as processes on loopback, and relays that are attached to them, for tests of the real program."""

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

from tests.ports import own_net
from tests.stand_ins import ROOT, SETTINGS, WAIT_S, World, relay
from yarrowspindle.commands.configuration import main
from yarrowspindle.configuration.codec import APPLIED_SETTINGS_FILE
from yarrowspindle.configuration.effects import Persist
from yarrowspindle.daemon.shared_settings import entry_value, read_platform_settings
from yarrowspindle.routing.address import Address
from yarrowspindle.storage.durable_file import DurableFile

CHAT = dict(SETTINGS["categories"][0])
ENTRIES = read_platform_settings(SETTINGS).entries
# A client's wait as long as this is accepted only where the class's deadline is 1.5 s or more.
LONG_WAIT_MS = 2500
addresses = iter(range(1 << 16))


def address() -> Address:
    """Returns an unused address on a loopback network of this process, so that parallel runs do not meet."""
    number = next(addresses)
    return f"{own_net()}.{1 + number // 250 % 250}.{1 + number % 250}", 7946


def address_text(of: Address) -> str:
    """Returns an address as settings have it."""
    return f"{of[0]}:{of[1]}"


def deadline_change(deadline_ms: float) -> str:
    """Returns the argument of `control set` that gives the class this deadline."""
    return f"categories={entry_value([CHAT | {'deadline_ms': deadline_ms}])}"


class ControllerProcess:
    """One controller, whose process may be started several times."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name, self.folder = name, folder
        self.address, self.command = address(), address()
        self.outside = self.address  # where other processes reach it
        self.process: asyncio.subprocess.Process
        self.log: asyncio.Queue[str] = asyncio.Queue()
        self.log_lines: list[str] = []
        self.reading: asyncio.Task[None] | None = None

    @property
    def directory(self) -> Path:
        """Its own directory."""
        return self.folder / self.name

    def environment(self, machines: str, cluster: str) -> dict[str, str]:
        """Writes its operator's file, and returns the environment of a process with it."""
        file = self.folder / f"{self.name}.toml"
        file.write_text(
            f'[control]\nrole = "controller"\nlisten = "{address_text(self.address)}"\ncluster = "{cluster}"\n'
            f'advertise = "{address_text(self.outside)}"\ndirectory = "{self.directory}"\n'
            f'command = "{address_text(self.command)}"\n{machines}'
        )
        rest = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        return rest | {"YARROWSPINDLE_OPERATOR": str(file)}

    async def start(self, env: dict[str, str]) -> None:
        """Starts the process and waits until it accepts commands."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "yarrowspindle", cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
        )
        self.reading = asyncio.ensure_future(self._read())
        await self.logged("commands are accepted")

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := (await self.process.stderr.readline()).decode():
            self.log_lines.append(line)
            self.log.put_nowait(line)

    async def logged(self, what: str) -> str:
        """Waits for the next line with this text."""
        while what not in (line := await asyncio.wait_for(self.log.get(), WAIT_S)):
            pass
        return line

    async def wait_for_log(self, what: str, first: int = 0) -> None:
        """Waits for a line that was logged at any time. first: the index in log_lines from which lines count."""
        deadline = time.monotonic() + WAIT_S
        while not any(what in line for line in self.log_lines[first:]):
            assert time.monotonic() < deadline, self.log_lines
            await asyncio.sleep(0.05)

    async def end(self, number: signal.Signals = signal.SIGKILL) -> None:
        """Ends the process, if it runs, and reads the rest of its log."""
        if self.process.returncode is None:
            self.process.send_signal(number)
            await asyncio.wait_for(self.process.wait(), WAIT_S)
        if self.reading is not None:
            await self.reading


class ControllerCluster:
    """Controllers with the operator's files of one fleet."""

    def __init__(self, folder: Path, names: list[str], name: str = "lab") -> None:
        self.folder, self.name = folder, name
        self.controllers = [ControllerProcess(one, folder) for one in names]

    @property
    def machines(self) -> str:
        """The tables of the controllers in an operator's file."""
        return "".join(
            f'[[control.machine]]\nname = "{one.name}"\naddress = "{address_text(one.outside)}"\nvoter = true\n'
            for one in self.controllers
        )

    def relay(self, name: str, more: str = "", at: Address | None = None) -> str:
        """The content of a relay's operator file."""
        return (
            f'[control]\nrole = "relay"\nlisten = "{address_text(at or address())}"\nname = "{name}"\n'
            f'cluster = "{self.name}"\ndirectory = "{self.folder}/{name}-kept"\n{more}{self.machines}'
        )

    def file(self, name: str) -> DurableFile[Persist]:
        """The file with the settings that a relay applied."""
        return DurableFile(f"{self.folder}/{name}-kept", name, self.name, "taken", APPLIED_SETTINGS_FILE)

    async def run_command(self, at: int, *words: str) -> int:
        """Runs an operator's command at a controller and returns its exit status."""
        return await asyncio.to_thread(main, ["--at", address_text(self.controllers[at].command), *words])

    async def show(self, at: int, capsys: pytest.CaptureFixture[str]) -> dict[str, Any]:
        """Returns the status of a controller."""
        capsys.readouterr()
        assert await self.run_command(at, "show", "--json") == 0
        shown: dict[str, Any] = json.loads(capsys.readouterr().out)
        return shown

    async def wait_until_applied(
        self, at: int, version: int, relays: int, capsys: pytest.CaptureFixture[str]
    ) -> dict[str, Any]:
        """Waits until this many relays apply a version, and returns the status."""
        deadline = time.monotonic() + WAIT_S
        while True:
            shown = await self.show(at, capsys)
            if shown["in_force"] >= version and shown["relays"] == relays:
                return shown
            assert time.monotonic() < deadline, shown
            await asyncio.sleep(0.05)


@asynccontextmanager
async def cluster(
    folder: Path, names: list[str], name: str = "lab", first: bool = True, found: ControllerCluster | None = None
) -> AsyncIterator[ControllerCluster]:
    """Runs controllers, and checks at the end that none logged a traceback. first: create the voters' files."""
    found = found or ControllerCluster(folder, names, name)
    try:
        for one in found.controllers:
            if first:
                with pytest.MonkeyPatch.context() as patch:
                    patch.setenv(
                        "YARROWSPINDLE_OPERATOR", one.environment(found.machines, name)["YARROWSPINDLE_OPERATOR"]
                    )
                    assert main(["init"]) == 0
        await asyncio.gather(*(one.start(one.environment(found.machines, name)) for one in found.controllers))
        yield found
    finally:
        await asyncio.gather(*(one.end() for one in found.controllers if hasattr(one, "process")))
        log = "".join(line for one in found.controllers for line in one.log_lines)
        assert "Traceback" not in log, log


async def relays(stack: AsyncExitStack, tmp: Path, operators: list[str]) -> list[World]:
    """Starts a relay for each operator's file."""
    folders = [tmp / f"relay{n}" for n in range(len(operators))]
    for folder in folders:
        folder.mkdir()
    entering = [stack.enter_async_context(relay(*one)) for one in zip(folders, operators, strict=True)]
    return list(await asyncio.gather(*entering))


async def wait_until_all_applied(found: list[World], version: int) -> None:
    """Waits until all of these relays log that they apply a version."""
    await asyncio.gather(*(one.logged(f"applied version {version};") for one in found))


async def is_placed(world: World, wait_ms: int) -> bool:
    """Whether the request of a client that waits for so long is placed."""
    client = await world.request(wait_ms=wait_ms)
    answered = asyncio.ensure_future(client.hear())
    placed = [asyncio.ensure_future(backend.next()) for backend in world.backends.values()]
    done, _ = await asyncio.wait((answered, *placed), return_when=asyncio.FIRST_COMPLETED, timeout=WAIT_S)
    for one in (answered, *placed):
        one.cancel()
    if answered in done:
        assert answered.result() == "ERR"
        return False
    assert done
    client.writer.close()
    return True


def environment_of(world: ControllerCluster, number: int) -> dict[str, str]:
    """Returns the environment of the process of a controller."""
    return world.controllers[number].environment(world.machines, world.name)


async def shown_table(world: ControllerCluster, capsys: pytest.CaptureFixture[str]) -> str:
    """Returns the status of the third controller as operators read it."""
    capsys.readouterr()
    assert await world.run_command(2, "show") == 0
    return capsys.readouterr().out
