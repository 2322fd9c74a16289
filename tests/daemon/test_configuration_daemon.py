"""The configuration in the real program: controllers and relays as processes, the command, and stored files."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import time
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from tests.daemon.configuration_processes import (
    CHAT,
    ENTRIES,
    LONG_WAIT_MS,
    ControllerCluster,
    address,
    address_text,
    cluster,
    deadline_change,
    environment_of,
    is_placed,
    relays,
    shown_table,
    wait_until_all_applied,
)
from tests.stand_ins import SETTINGS, WAIT_S, relay
from yarrowspindle.configuration.effects import Persist
from yarrowspindle.configuration.link import Link
from yarrowspindle.configuration.messages import LatestVersion
from yarrowspindle.daemon.shared_settings import entry_value
from yarrowspindle.lab.faults import Fault, FaultyNetwork
from yarrowspindle.lab.processes.proxy import DatagramProxy
from yarrowspindle.routing.address import Address


def test_relays_change_together_and_continue_without_their_controllers(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    platform = {"name": "n9", "settings": SETTINGS | {"categories": [CHAT | {"deadline_ms": 1900.0}], "color": "red"}}
    (tmp_path / "platform.json").write_text(json.dumps(platform))

    async def rejected(world: ControllerCluster, says: str, *words: str) -> None:
        capsys.readouterr()
        assert await world.run_command(0, *words) in (1, 2) and says in capsys.readouterr().err

    async def body() -> None:
        async with AsyncExitStack() as stack:
            world = await stack.enter_async_context(cluster(tmp_path, ["c0", "c1", "c2"]))
            zones = ['zone = "a"\n', 'zone = "b"\n', "", "", ""]
            found = await relays(stack, tmp_path, [world.relay(f"r{n}", zones[n]) for n in range(5)])
            await world.wait_until_applied(0, 0, 5, capsys)
            assert await is_placed(found[0], LONG_WAIT_MS)

            await rejected(
                world, "limits.max_attempts is missing", "set", deadline_change(900.0)
            )  # the first change must be complete
            assert await world.run_command(1, "load", str(tmp_path / "platform.json")) == 0
            out = capsys.readouterr().out
            assert "each relay's own: azs, realms, skus, slot_no, zone" in out
            assert "not read by the program: color" in out and "version 1 is agreed on" in out
            await wait_until_all_applied(found, 1)
            assert await world.run_command(1, "load", str(tmp_path / "platform.json")) == 0
            assert "nothing differs" in capsys.readouterr().out
            assert await world.run_command(2, "set", deadline_change(900.0)) == 0
            await asyncio.gather(*(one.logged("applied version 2; changed: categories") for one in found))
            shown = await world.wait_until_applied(1, 2, 5, capsys)
            assert not shown["named"] and shown["voters"] == ["c0", "c1", "c2"]
            for one in found:
                assert not await is_placed(one, LONG_WAIT_MS) and await is_placed(one, 1000)

            await rejected(world, "is no JSON", "set", "limits={")
            await rejected(world, "limits.max_attempts is missing", "set", "limits={}")
            await rejected(world, "limit is no member of the settings", "set", "limit={}")
            await rejected(world, "zone is each relay's own", "set", "zone=1")
            await rejected(world, "no entry limit", "unset", "limit")
            await rejected(world, "a name of its own", "set", f"categories={entry_value([CHAT, CHAT])}")
            assert (await world.show(0, capsys))["version"] == 2

            # One controller fails, whichever: the next change is applied within 3 s.
            await world.controllers[0].end()
            began = time.monotonic()
            assert await world.run_command(1, "set", deadline_change(1900.0)) == 0
            await wait_until_all_applied(found, 3)
            assert time.monotonic() < began + 3.0
            assert await is_placed(found[4], LONG_WAIT_MS)
            await world.controllers[0].start(environment_of(world, 0))
            world.controllers[1].process.send_signal(signal.SIGSTOP)
            began = time.monotonic()
            assert await world.run_command(2, "set", deadline_change(900.0)) == 0
            await wait_until_all_applied(found, 4)
            assert time.monotonic() < began + 3.0
            world.controllers[1].process.send_signal(signal.SIGCONT)

            # A reload reads the rest of the file, not its settings.
            found[3].reload(settings=SETTINGS | {"categories": [CHAT | {"deadline_ms": 1950.0}]})
            await found[3].logged("the settings stay those of the controllers")
            assert not await is_placed(found[3], LONG_WAIT_MS)

            # Without any controller a relay that restarts applies the settings that it stored.
            assert "version 4 is agreed on" in await shown_table(world, capsys)
            for controller in world.controllers[::2]:
                await controller.end(signal.SIGTERM)
                assert controller.process.returncode == 0 and "stopped" in controller.log_lines[-1]
            await world.controllers[1].end()
            found[2].stop()
            await asyncio.wait_for(found[2].process.wait(), WAIT_S)
            again = tmp_path / "again"
            again.mkdir()
            started = await stack.enter_async_context(relay(again, (tmp_path / "relay2/operator.toml").read_text()))
            assert not await is_placed(started, LONG_WAIT_MS) and await is_placed(started, 1000)

            # One controller that starts alone, without a majority, still distributes the committed state.
            await world.controllers[2].start(environment_of(world, 2))
            shown = await world.show(2, capsys)
            assert shown["version"] == 4 and shown["entries"]["categories"] == deadline_change(900.0).partition("=")[2]

    asyncio.run(body())


def test_unknown_senders_stored_files_and_failing_disks(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def body() -> None:
        async with AsyncExitStack() as stack:
            world = await stack.enter_async_context(cluster(tmp_path, ["c0"]))
            (controller,) = world.controllers
            foreign = ControllerCluster(tmp_path, [], "other")
            foreign.controllers = world.controllers
            for name, version in (("ahead", 50), ("cut", 7)):
                file = world.file(name)
                file.directory.mkdir()
                file.store(Persist(version, ENTRIES | {"categories": deadline_change(900.0).partition("=")[2]}))
            file.path.write_bytes(file.path.read_bytes()[:-9])
            names = ["ahead", "cut", "twin", "twin"]
            flooded = address()
            operators = [world.relay(name) for name in names] + [foreign.relay("foreign", at=flooded)]
            operators[3] = operators[3].replace("twin-kept", "twin2-kept")
            ahead, cut, twin, _, other = await relays(stack, tmp_path, operators)

            # Stored settings apply from the first request on, unless the file is damaged.
            assert not await is_placed(ahead, LONG_WAIT_MS) and await is_placed(cut, LONG_WAIT_MS)
            assert await is_placed(other, LONG_WAIT_MS)
            await flood(flooded)
            assert await is_placed(other, LONG_WAIT_MS)
            said = [other.log.get_nowait() for _ in range(other.log.qsize())]
            assert 0 < sum("dropped a datagram of" in line for line in said) <= 60, "20 a second at most"
            await controller.wait_for_log("two relays are called twin")
            await controller.wait_for_log("another cluster")
            # A relay with a newer version than the controllers applies nothing older.
            await controller.wait_for_log("relay ahead has version 50, newer than the committed version")

            # A disk fails: at the voter, then at a relay.
            blocked = controller.directory / "voter.new"
            blocked.mkdir()
            (tmp_path / "settings.json").write_text(json.dumps(SETTINGS))
            loading = asyncio.ensure_future(world.run_command(0, "load", str(tmp_path / "settings.json")))
            await controller.wait_for_log("the voter's file cannot be written, so this controller does not vote")
            assert not loading.done() and (await world.show(0, capsys))["version"] == 0
            kept = world.file("twin").directory / "taken.new"
            kept.mkdir(parents=True)
            blocked.rmdir()
            assert await loading == 0
            shown = await world.wait_until_applied(0, 1, 4, capsys)
            assert shown["version"] == 1 and not shown["named"]
            await twin.logged("version 1 is applied, but cannot be stored yet")
            assert await is_placed(twin, LONG_WAIT_MS)
            kept.rmdir()
            await twin.logged("version 1 is stored in")
            assert world.file("twin").load().version == 1

            assert not await is_placed(ahead, LONG_WAIT_MS) and world.file("ahead").load().version == 50
            assert controller.process.returncode is None and other.process.returncode is None

    asyncio.run(body())


async def flood(at: Address) -> None:
    """Sends datagrams of many unknown senders, some of them like valid ones."""
    sealed = Link("x", address(), "lab", 1, 1, 0.0).encode(0.0, at, LatestVersion(1, bytes(8)))[0]
    for n in range(150):
        with socket.socket(type=socket.SOCK_DGRAM) as stranger:
            for data in (b"", os.urandom(1 + n), sealed, sealed[:-n] + os.urandom(n), os.urandom(1400)):
                stranger.sendto(data, at)
        await asyncio.sleep(0.0)


def test_a_voter_that_lost_its_file_is_added_again(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def body() -> None:
        async with cluster(tmp_path, ["c0", "c1", "c2"]) as world:
            (tmp_path / "settings.json").write_text(json.dumps({"settings": SETTINGS}))
            assert await world.run_command(0, "load", str(tmp_path / "settings.json")) == 0
            last = world.controllers[2]
            await last.end()
            file = last.directory / "voter"
            file.write_bytes(file.read_bytes()[:50])
            before = len(last.log_lines)
            await last.start(environment_of(world, 2))
            assert any("the file is truncated" in line for line in last.log_lines[before:])
            await last.wait_for_log("has its voter's file, promised 0", first=before)
            assert (last.directory / "voter.bad").exists()
            await world.controllers[0].logged("version 2 is committed: voters")
            await world.controllers[0].end()  # the remaining voters are a majority again
            assert await world.run_command(1, "set", deadline_change(900.0)) == 0

    asyncio.run(body())


def test_loss_and_a_partition_between_relays_and_controllers(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Eight processes behind proxies: a third of datagrams is lost, one relay is cut off from two controllers."""

    async def body() -> None:
        world = ControllerCluster(tmp_path, ["r7", "r8", "r9"])  # the faults apply to parties with such names
        inside = {f"r{n}": address() for n in range(5)} | {one.name: one.address for one in world.controllers}
        outside = {name: address() for name in inside}
        faulty_network, parties = FaultyNetwork(11), {at: name for name, at in inside.items()}
        passed: dict[bool, int] = {True: 0, False: 0}

        def seen(source: str, target: str, data: bytes, copies: int) -> None:
            passed[copies > 0] += 1

        for controller in world.controllers:
            controller.outside = outside[controller.name]
        proxies = [DatagramProxy(name, at, parties, faulty_network, seen) for name, at in inside.items()]
        for proxy in proxies:
            await proxy.open(outside[proxy.target])
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(cluster(tmp_path, [], found=world))
            operators = [
                world.relay(f"r{n}", f'advertise = "{address_text(outside[f"r{n}"])}"\n', inside[f"r{n}"])
                for n in range(5)
            ]
            found = await relays(stack, tmp_path, operators)
            (tmp_path / "settings.json").write_text(json.dumps(SETTINGS))
            faulty_network.start(Fault("loss", 0.0, 9.0, 0.3))
            assert await world.run_command(0, "load", str(tmp_path / "settings.json")) == 0
            await wait_until_all_applied(found, 1)
            faulty_network.start(Fault("cut", 0.0, 9.0, participants=("r0",), other_side=("r7", "r8")))
            began = time.monotonic()
            assert await world.run_command(1, "set", deadline_change(900.0)) == 0
            await wait_until_all_applied(found, 2)
            assert time.monotonic() < began + 3.0
            await world.wait_until_applied(1, 2, 5, capsys)
            for one in found:
                assert not await is_placed(one, LONG_WAIT_MS)
            assert passed[False] > 20 and passed[True] > 50
        for proxy in proxies:
            proxy.close()

    asyncio.run(body())
