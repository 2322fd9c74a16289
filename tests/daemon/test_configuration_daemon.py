"""Shared configuration with controllers and relays as processes: the command, stored files and faults."""

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
    LONG_DEADLINE_MS,
    ControllerCluster,
    address_text,
    deadline_change,
    environment_of,
    is_placed,
    running_cluster,
    start_relays,
    status_text,
    unused_address,
    wait_until_all_applied,
)
from tests.stand_ins import SETTINGS, TIMEOUT_S, relay
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

    async def rejected(cluster: ControllerCluster, message: str, *arguments: str) -> None:
        capsys.readouterr()
        assert await cluster.run_command(0, *arguments) in (1, 2) and message in capsys.readouterr().err

    async def body() -> None:
        async with AsyncExitStack() as stack:
            cluster = await stack.enter_async_context(running_cluster(tmp_path, ["c0", "c1", "c2"]))
            zones = ['zone = "a"\n', 'zone = "b"\n', "", "", ""]
            envs = await start_relays(stack, tmp_path, [cluster.relay(f"r{n}", zones[n]) for n in range(5)])
            await cluster.wait_until_applied(0, 0, 5, capsys)
            assert await is_placed(envs[0], LONG_DEADLINE_MS)

            await rejected(
                cluster, "limits.max_attempts is missing", "set", deadline_change(900.0)
            )  # the first change must be complete
            assert await cluster.run_command(1, "load", str(tmp_path / "platform.json")) == 0
            out = capsys.readouterr().out
            assert "specific to each relay: azs, realms, skus, slot_no, zone" in out
            assert "unknown to the program: color" in out and "version 1 is agreed on" in out
            await wait_until_all_applied(envs, 1)
            assert await cluster.run_command(1, "load", str(tmp_path / "platform.json")) == 0
            assert "nothing differs from the committed settings" in capsys.readouterr().out
            assert await cluster.run_command(2, "set", deadline_change(900.0)) == 0
            await asyncio.gather(*(env.next_log_line("applied version 2; changed: categories") for env in envs))
            status = await cluster.wait_until_applied(1, 2, 5, capsys)
            assert not status["named"] and status["voters"] == ["c0", "c1", "c2"]
            for env in envs:
                assert not await is_placed(env, LONG_DEADLINE_MS) and await is_placed(env, 1000)

            await rejected(cluster, "is not JSON", "set", "limits={")
            await rejected(cluster, "limits.max_attempts is missing", "set", "limits={}")
            await rejected(cluster, "unknown key settings.limit; did you mean limits?", "set", "limit={}")
            await rejected(cluster, "settings.zone is specific to each relay", "set", "zone=1")
            await rejected(cluster, "no entry limit", "unset", "limit")
            await rejected(
                cluster, "expected a distinct printable name for each", "set", f"categories={entry_value([CHAT, CHAT])}"
            )
            assert (await cluster.show(0, capsys))["version"] == 2

            # If any one controller fails, the next change is still applied within 3 s.
            await cluster.controllers[0].end()
            start_time = time.monotonic()
            assert await cluster.run_command(1, "set", deadline_change(1900.0)) == 0
            await wait_until_all_applied(envs, 3)
            assert time.monotonic() < start_time + 3.0
            assert await is_placed(envs[4], LONG_DEADLINE_MS)
            await cluster.controllers[0].start(environment_of(cluster, 0))
            cluster.controllers[1].process.send_signal(signal.SIGSTOP)
            start_time = time.monotonic()
            assert await cluster.run_command(2, "set", deadline_change(900.0)) == 0
            await wait_until_all_applied(envs, 4)
            assert time.monotonic() < start_time + 3.0
            cluster.controllers[1].process.send_signal(signal.SIGCONT)

            # A reload applies the file, but not its settings.
            envs[3].reload(settings=SETTINGS | {"categories": [CHAT | {"deadline_ms": 1950.0}]})
            await envs[3].next_log_line("the controllers' settings stay in force")
            assert not await is_placed(envs[3], LONG_DEADLINE_MS)

            # Without any controller a relay that restarts applies the settings that it stored.
            assert "version 4 is agreed on" in await status_text(cluster, capsys)
            for controller in cluster.controllers[::2]:
                await controller.end(signal.SIGTERM)
                assert controller.process.returncode == 0 and "stopped" in controller.log_lines[-1]
            await cluster.controllers[1].end()
            envs[2].stop()
            await asyncio.wait_for(envs[2].process.wait(), TIMEOUT_S)
            again = tmp_path / "again"
            again.mkdir()
            started = await stack.enter_async_context(relay(again, (tmp_path / "relay2/operator.toml").read_text()))
            assert not await is_placed(started, LONG_DEADLINE_MS) and await is_placed(started, 1000)

            # A single controller that starts without a majority still distributes the committed state.
            await cluster.controllers[2].start(environment_of(cluster, 2))
            status = await cluster.show(2, capsys)
            assert (
                status["version"] == 4 and status["entries"]["categories"] == deadline_change(900.0).partition("=")[2]
            )

    asyncio.run(body())


def test_unknown_senders_stored_files_and_failing_disks(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def body() -> None:
        async with AsyncExitStack() as stack:
            cluster = await stack.enter_async_context(running_cluster(tmp_path, ["c0"]))
            (controller,) = cluster.controllers
            foreign = ControllerCluster(tmp_path, [], "other")
            foreign.controllers = cluster.controllers
            for name, version in (("ahead", 50), ("cut", 7)):
                file = cluster.file(name)
                file.directory.mkdir()
                file.store(Persist(version, ENTRIES | {"categories": deadline_change(900.0).partition("=")[2]}))
            file.path.write_bytes(file.path.read_bytes()[:-9])
            names = ["ahead", "cut", "twin", "twin"]
            flooded = unused_address()
            operators = [cluster.relay(name) for name in names] + [foreign.relay("foreign", at=flooded)]
            operators[3] = operators[3].replace("twin-kept", "twin2-kept")
            ahead, cut, twin, _, other = await start_relays(stack, tmp_path, operators)

            # Stored settings apply from the first request on, unless the file is damaged.
            assert not await is_placed(ahead, LONG_DEADLINE_MS) and await is_placed(cut, LONG_DEADLINE_MS)
            assert await is_placed(other, LONG_DEADLINE_MS)
            await flood(flooded)
            assert await is_placed(other, LONG_DEADLINE_MS)
            lines = [other.log.get_nowait() for _ in range(other.log.qsize())]
            assert 0 < sum("dropped a datagram of" in line for line in lines) <= 60, "at most 20 a second"
            await controller.wait_for_log("two relays are called twin")
            await controller.wait_for_log("another cluster")
            # A relay with a newer version than the controllers applies nothing older.
            await controller.wait_for_log("relay ahead has version 50, newer than the committed version")

            # A disk fails: at the voter, then at a relay.
            blocked = controller.directory / "voter.new"
            blocked.mkdir()
            (tmp_path / "settings.json").write_text(json.dumps(SETTINGS))
            loading = asyncio.ensure_future(cluster.run_command(0, "load", str(tmp_path / "settings.json")))
            await controller.wait_for_log("the voter's file cannot be written, so this controller does not vote")
            assert not loading.done() and (await cluster.show(0, capsys))["version"] == 0
            blocked_settings = cluster.file("twin").directory / "taken.new"
            blocked_settings.mkdir(parents=True)
            blocked.rmdir()
            assert await loading == 0
            status = await cluster.wait_until_applied(0, 1, 4, capsys)
            assert status["version"] == 1 and not status["named"]
            await twin.next_log_line("version 1 is applied, but cannot be stored yet")
            assert await is_placed(twin, LONG_DEADLINE_MS)
            blocked_settings.rmdir()
            await twin.next_log_line("version 1 is stored in")
            assert cluster.file("twin").load().version == 1

            assert not await is_placed(ahead, LONG_DEADLINE_MS) and cluster.file("ahead").load().version == 50
            assert controller.process.returncode is None and other.process.returncode is None

    asyncio.run(body())


async def flood(target: Address) -> None:
    """Send datagrams from many unknown senders, some of them similar to valid ones."""
    valid = Link("x", unused_address(), "lab", 1, 1, 0.0).encode(0.0, target, LatestVersion(1, bytes(8)))[0]
    for n in range(150):
        with socket.socket(type=socket.SOCK_DGRAM) as sender:
            for data in (b"", os.urandom(1 + n), valid, valid[:-n] + os.urandom(n), os.urandom(1400)):
                sender.sendto(data, target)
        await asyncio.sleep(0.0)


def test_a_voter_that_lost_its_file_is_added_again(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def body() -> None:
        async with running_cluster(tmp_path, ["c0", "c1", "c2"]) as cluster:
            (tmp_path / "settings.json").write_text(json.dumps({"settings": SETTINGS}))
            assert await cluster.run_command(0, "load", str(tmp_path / "settings.json")) == 0
            restarted = cluster.controllers[2]
            await restarted.end()
            file = restarted.directory / "voter"
            file.write_bytes(file.read_bytes()[:50])
            lines_before = len(restarted.log_lines)
            await restarted.start(environment_of(cluster, 2))
            assert any("the file is truncated" in line for line in restarted.log_lines[lines_before:])
            await restarted.wait_for_log("has its voter's file, promised 0", first_index=lines_before)
            assert (restarted.directory / "voter.bad").exists()
            await cluster.controllers[0].next_log_line("version 2 is committed: voters")
            await cluster.controllers[0].end()  # the remaining voters are a majority again
            assert await cluster.run_command(1, "set", deadline_change(900.0)) == 0

    asyncio.run(body())


def test_loss_and_a_partition_between_relays_and_controllers(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Eight processes behind proxies: 30 % of the datagrams are lost, and one relay is cut off from two controllers."""

    async def body() -> None:
        cluster = ControllerCluster(tmp_path, ["r7", "r8", "r9"])  # the faults apply to parties with such names
        own_addresses = {f"r{n}": unused_address() for n in range(5)} | {
            controller.name: controller.address for controller in cluster.controllers
        }
        proxy_addresses = {name: unused_address() for name in own_addresses}
        faulty_network, parties = FaultyNetwork(11), {at: name for name, at in own_addresses.items()}
        datagrams: dict[bool, int] = {True: 0, False: 0}

        def count(source: str, target: str, data: bytes, copies: int) -> None:
            datagrams[copies > 0] += 1

        for controller in cluster.controllers:
            controller.advertised_address = proxy_addresses[controller.name]
        proxies = [DatagramProxy(name, at, parties, faulty_network, count) for name, at in own_addresses.items()]
        for proxy in proxies:
            await proxy.open(proxy_addresses[proxy.target])
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(running_cluster(tmp_path, [], existing=cluster))
            operators = [
                cluster.relay(
                    f"r{n}", f'advertise = "{address_text(proxy_addresses[f"r{n}"])}"\n', own_addresses[f"r{n}"]
                )
                for n in range(5)
            ]
            envs = await start_relays(stack, tmp_path, operators)
            (tmp_path / "settings.json").write_text(json.dumps(SETTINGS))
            faulty_network.start(Fault("loss", 0.0, 9.0, 0.3))
            assert await cluster.run_command(0, "load", str(tmp_path / "settings.json")) == 0
            await wait_until_all_applied(envs, 1)
            faulty_network.start(Fault("cut", 0.0, 9.0, participants=("r0",), other_side=("r7", "r8")))
            start_time = time.monotonic()
            assert await cluster.run_command(1, "set", deadline_change(900.0)) == 0
            await wait_until_all_applied(envs, 2)
            assert time.monotonic() < start_time + 3.0
            await cluster.wait_until_applied(1, 2, 5, capsys)
            for env in envs:
                assert not await is_placed(env, LONG_DEADLINE_MS)
            assert datagrams[False] > 20 and datagrams[True] > 50
        for proxy in proxies:
            proxy.close()

    asyncio.run(body())
