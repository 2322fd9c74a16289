"""Starts while an address or descriptors cannot be had for a moment; ends of which one side is missing."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import pytest
import uvloop

from tests.ports import free_port
from tests.stand_ins import ROOT
from tests.transport.test_connector import Backend, config
from yarrowspindle.daemon import metrics_reporter
from yarrowspindle.daemon.config import read_config
from yarrowspindle.daemon.main import CONNECTION_CLOSE_S
from yarrowspindle.daemon.operator_config import MetricsConfig
from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.fronts.line_front import LineFront
from yarrowspindle.routing.effects import MigrateConnection
from yarrowspindle.routing.timers import SHUTDOWN_TIMER
from yarrowspindle.runtime import SystemClock
from yarrowspindle.transport.line_connection import LineConnection
from yarrowspindle.transport.metrics_senders import UdpMetricsSender

WAIT_S = 10.0


@pytest.mark.parametrize("which", ("listen", "operator"))
def test_a_relay_whose_address_is_taken_for_a_moment_serves_once_it_is_free(tmp_path: Path, which: str) -> None:
    """So does one that gets no descriptor just then: ready within 10 s, not ended."""

    async def body() -> None:
        told = config([Backend()]) | {"operator": f"127.0.0.1:{free_port()}"}
        host, _, port = str(told[which]).rpartition(":")
        held = socket.socket()
        held.bind((host, int(port)))
        held.listen()
        (tmp_path / "config.json").write_text(json.dumps(told))
        env = os.environ | {"ROUTER_CONFIG": str(tmp_path / "config.json"), "YARROWSPINDLE_OPERATOR": ""}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "yarrowspindle", cwd=ROOT, env=env, stderr=asyncio.subprocess.DEVNULL
        )
        try:
            await asyncio.sleep(1.5)
            held.close()
            until = asyncio.get_running_loop().time() + WAIT_S
            while asyncio.get_running_loop().time() < until:
                assert process.returncode is None, "it has ended"
                try:
                    reader, writer = await asyncio.open_connection(*told["listen"].split(":"))
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                writer.write(b"PING\r\n")
                answer = await reader.readline()
                writer.close()
                if answer == b"PONG\r\n":
                    return
                await asyncio.sleep(0.05)
            raise AssertionError("it does not serve")
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()

    asyncio.run(body())


class Figures:
    def __init__(self) -> None:
        self.asked = 0

    def counters(self) -> Mapping[str, float]:
        return {"count": 1.0}

    def gauges(self) -> dict[str, float]:
        self.asked += 1
        if self.asked == 2:
            raise KeyError("a source that fails once")
        return {}


# Starts the program with a module that sends its own process a signal at a step of the interpreter's end.
SIGNALLED_AT_ITS_END = """
import os, signal, sys
from types import ModuleType

def signalled(number=int(sys.argv[1]), pid=os.getpid(), kill=os.kill):
    kill(pid, number)

class Last:
    def __del__(self, signalled=signalled):
        signalled()

if sys.argv[2] == "exit handlers":
    import atexit
    atexit.register(signalled)
else:
    sys.modules["last"] = last = ModuleType("last")
    last.last = Last()

from yarrowspindle.daemon.main import main
sys.argv[1:] = []
sys.exit(main())
"""


@pytest.mark.parametrize("number", (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))
@pytest.mark.parametrize("step", ("exit handlers", "modules"))
def test_a_signal_at_the_interpreters_end_takes_no_process_its_exit_status(
    tmp_path: Path, number: signal.Signals, step: str
) -> None:
    """Guards against the default actions that the interpreter restores as it ends: -1 in place of 0."""

    async def body() -> None:
        (tmp_path / "config.json").write_text(json.dumps(config([Backend()])))
        env = os.environ | {"ROUTER_CONFIG": str(tmp_path / "config.json"), "YARROWSPINDLE_OPERATOR": ""}
        command = [sys.executable, "-B", "-c", SIGNALLED_AT_ITS_END, str(int(number)), step]
        process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE)
        assert process.stderr is not None
        while b"serves at" not in (line := await asyncio.wait_for(process.stderr.readline(), WAIT_S)):
            assert line, "it has ended"
        process.terminate()
        _, log = await asyncio.wait_for(process.communicate(), WAIT_S)
        assert process.returncode == 0 and b"stopped: " in log and b"Traceback" not in log

    asyncio.run(body())


def test_reports_go_on_after_one_that_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    """No descriptor at the start, a source that raises, a way that is gone for a moment: one report each."""

    async def body() -> None:
        figures, opened, sent = Figures(), list[int](), list[bytes]()

        class Way(UdpMetricsSender):
            def send(self, data: bytes) -> None:
                if len(sent) == 0 and not opened[-1]:
                    raise OSError(errno.ENETUNREACH, "Network is unreachable")
                sent.append(data)

        async def open_datagrams(address: Any) -> UdpMetricsSender:
            opened.append(len(opened))
            if len(opened) == 1:
                raise OSError(errno.ENFILE, "Too many open files in system")
            return Way()

        monkeypatch.setattr(metrics_reporter, "open_datagrams", open_datagrams)
        told = MetricsConfig(collectd=("127.0.0.1", free_port()), interval_s=0.02)
        reporting = asyncio.ensure_future(metrics_reporter.report_periodically(figures, told, "n0"))
        await asyncio.sleep(0.3)
        assert not reporting.done() and figures.asked >= 4 and len(opened) == 2 and len(sent) >= 2
        reporting.cancel()

    asyncio.run(body())


def test_a_client_is_told_to_come_again_though_its_servers_side_is_gone_already() -> None:
    async def body() -> None:
        backend = Backend()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            writer.write(b"UP r1\r\n")

        await asyncio.start_server(serve, "127.0.0.1", backend.port)
        hub = RelayService(read_config(config([backend])), SystemClock())
        hub.start()
        front = LineFront(hub, 200).start()
        hub.serving = True
        reader, writer = await asyncio.open_connection(*hub.config.listen)
        writer.write(b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=charge,t=acme,d=900\r\n")
        assert await reader.readline() == b"UP r1\r\n"
        (request,) = hub.reducer.requests
        front.backends.pop(request)
        front.carry_out(MigrateConnection(request))
        assert await asyncio.wait_for(reader.read(), WAIT_S) == b"MOVE\r\n"
        writer.close()

    uvloop.run(body())


HOLD_S = 0.7  # beyond the end, and the time for hearing clients out
STEP_S = 0.4  # before the end: a step of the shutdown that leaves a part of the connections to later ones
CLIENTS = 20


@pytest.mark.parametrize("standing", (True, False))
def test_a_hold_within_a_step_of_the_shutdown_leaves_nobody_unanswered(
    monkeypatch: pytest.MonkeyPatch, standing: bool
) -> None:
    """Guards against an end that waits for a timer, which a hold sets late: connections ended without MOVE or BUSY."""

    async def body() -> None:
        backend, answer = Backend(), b"UP r1\r\n" if standing else b""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            writer.write(answer)

        await asyncio.start_server(serve, "127.0.0.1", backend.port)
        service = RelayService(read_config(config([backend])), SystemClock())
        service.start()
        front = LineFront(service, 200).start()
        service.serving = True
        loop, timers = asyncio.get_running_loop(), service.runtime.timers
        until = loop.time() + service.begin_shutdown() / 1000.0
        clients = [await asyncio.open_connection(*service.config.listen) for _ in range(CLIENTS)]
        if not standing:
            await asyncio.sleep(until - loop.time() - 1.1 * STEP_S)  # their own time is over long after the end
        for number, (_, writer) in enumerate(clients):
            writer.write(f"OPEN {number:016x} 7f3a9c21e0b4d655 c=charge,t=acme,d=900\r\n".encode())
        holds: list[float] = []

        def hold_and_set(delay_ms: float, what: object) -> None:
            if what == SHUTDOWN_TIMER and until - STEP_S < loop.time() < until and not holds:
                holds.append(loop.time())
                time.sleep(HOLD_S)
            set_timer(delay_ms, what)

        set_timer = timers.set
        monkeypatch.setattr(timers, "set", hold_and_set)
        await asyncio.sleep(until - loop.time())
        await front.shut_down(until + CONNECTION_CLOSE_S)
        assert holds
        assert not service.reducer.requests
        last = b"MOVE\r\n" if standing else b"ERR\r\n"  # what waits was sent to its backend, and may have run there
        assert [await asyncio.wait_for(reader.read(), WAIT_S) for reader, _ in clients] == [answer + last] * CLIENTS
        for _, writer in clients:
            writer.close()

    uvloop.run(body())


def test_an_option_that_cannot_be_set_does_not_lose_the_connection() -> None:
    class Sock:
        family = socket.AF_INET

        def setsockopt(self, *given: Any) -> None:
            raise OSError(errno.ENOBUFS, "No buffer space available")

    class Transport(asyncio.Transport):
        def get_extra_info(self, name: str, default: Any = None) -> Any:
            return Sock()

        def is_closing(self) -> bool:
            return False

    side, transport = LineConnection(), Transport()
    side.connection_made(transport)
    assert side.open_transport is transport
