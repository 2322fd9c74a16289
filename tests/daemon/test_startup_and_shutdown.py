"""Starts without a free address or descriptor; shutdown with stalls, signals and closed connections."""

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


@pytest.mark.parametrize("member", ("listen", "operator"))
def test_a_relay_retries_an_address_in_use_until_it_is_free(tmp_path: Path, member: str) -> None:
    """The same holds for a relay without a free descriptor: it must be ready within 10 s and not exit."""

    async def body() -> None:
        configuration = config([Backend()]) | {"operator": f"127.0.0.1:{free_port()}"}
        host, _, port = str(configuration[member]).rpartition(":")
        occupied = socket.socket()
        occupied.bind((host, int(port)))
        occupied.listen()
        (tmp_path / "config.json").write_text(json.dumps(configuration))
        variables = {"ROUTER_CONFIG": str(tmp_path / "config.json"), "YARROWSPINDLE_OPERATOR": ""}
        env = os.environ | variables | {"TMPDIR": str(tmp_path)}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "yarrowspindle", cwd=ROOT, env=env, stderr=asyncio.subprocess.DEVNULL
        )
        try:
            await asyncio.sleep(1.5)
            occupied.close()
            deadline = asyncio.get_running_loop().time() + WAIT_S
            while asyncio.get_running_loop().time() < deadline:
                assert process.returncode is None, "the relay has exited"
                try:
                    reader, writer = await asyncio.open_connection(*configuration["listen"].split(":"))
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                writer.write(b"PING\r\n")
                answer = await reader.readline()
                writer.close()
                if answer == b"PONG\r\n":
                    return
                await asyncio.sleep(0.05)
            raise AssertionError("the relay does not serve")
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()

    asyncio.run(body())


class FailingSource:
    def __init__(self) -> None:
        self.gauge_calls = 0

    def counters(self) -> Mapping[str, float]:
        return {"count": 1.0}

    def gauges(self) -> dict[str, float]:
        self.gauge_calls += 1
        if self.gauge_calls == 2:
            raise KeyError("a source that fails once")
        return {}


# Starts the program with a module that sends its own process a signal at a step of the interpreter's exit.
SIGNAL_DURING_EXIT = """
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
def test_a_signal_during_interpreter_exit_does_not_change_the_exit_status(
    tmp_path: Path, number: signal.Signals, step: str
) -> None:
    """Guard against the default signal actions that the interpreter restores on exit: status -1 instead of 0."""

    async def body() -> None:
        (tmp_path / "config.json").write_text(json.dumps(config([Backend()])))
        variables = {"ROUTER_CONFIG": str(tmp_path / "config.json"), "YARROWSPINDLE_OPERATOR": ""}
        env = os.environ | variables | {"TMPDIR": str(tmp_path)}
        command = [sys.executable, "-B", "-c", SIGNAL_DURING_EXIT, str(int(number)), step]
        process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE)
        assert process.stderr is not None
        while b"serves at" not in (line := await asyncio.wait_for(process.stderr.readline(), WAIT_S)):
            assert line, "the relay has exited"
        process.terminate()
        _, log = await asyncio.wait_for(process.communicate(), WAIT_S)
        assert process.returncode == 0 and b"stopped: " in log and b"Traceback" not in log

    asyncio.run(body())


def test_reports_continue_after_a_failed_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each failure costs one report: no descriptor at the start, a source that raises, an unreachable network."""

    async def body() -> None:
        source, opened, sent = FailingSource(), list[int](), list[bytes]()

        class FailingDatagrams(UdpMetricsSender):
            def send(self, data: bytes) -> None:
                if len(sent) == 0 and not opened[-1]:
                    raise OSError(errno.ENETUNREACH, "Network is unreachable")
                sent.append(data)

        async def open_datagrams(address: Any) -> UdpMetricsSender:
            opened.append(len(opened))
            if len(opened) == 1:
                raise OSError(errno.ENFILE, "Too many open files in system")
            return FailingDatagrams()

        monkeypatch.setattr(metrics_reporter, "open_datagrams", open_datagrams)
        metrics_config = MetricsConfig(collectd=("127.0.0.1", free_port()), interval_s=0.02)
        reporting = asyncio.ensure_future(metrics_reporter.report_periodically(source, metrics_config, "n0"))
        await asyncio.sleep(0.3)
        assert not reporting.done() and source.gauge_calls >= 4 and len(opened) == 2 and len(sent) >= 2
        reporting.cancel()

    asyncio.run(body())


def test_a_client_gets_move_although_its_backend_connection_is_closed() -> None:
    async def body() -> None:
        backend = Backend()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            writer.write(b"UP r1\r\n")

        await asyncio.start_server(serve, "127.0.0.1", backend.port)
        service = RelayService(read_config(config([backend])), SystemClock())
        service.start()
        front = LineFront(service, 200).start()
        service.serving = True
        reader, writer = await asyncio.open_connection(*service.config.listen)
        writer.write(b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=charge,t=acme,d=900\r\n")
        assert await reader.readline() == b"UP r1\r\n"
        (request,) = service.reducer.requests
        front.backends.pop(request)
        front.carry_out(MigrateConnection(request))
        assert await asyncio.wait_for(reader.read(), WAIT_S) == b"MOVE\r\n"
        writer.close()

    uvloop.run(body())


STALL_S = 0.7  # longer than the rest of the shutdown, including CONNECTION_CLOSE_S
STEP_BEFORE_END_S = 0.4  # a shutdown step this long before the end leaves some connections to later steps
CLIENTS = 20


@pytest.mark.parametrize("established", (True, False))
def test_a_stall_within_a_shutdown_step_leaves_no_client_unanswered(
    monkeypatch: pytest.MonkeyPatch, established: bool
) -> None:
    """Guard against a shutdown that relies on a timer, which a stall delays: connections got no MOVE or BUSY."""

    async def body() -> None:
        backend, answer = Backend(), b"UP r1\r\n" if established else b""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readline()
            writer.write(answer)

        await asyncio.start_server(serve, "127.0.0.1", backend.port)
        service = RelayService(read_config(config([backend])), SystemClock())
        service.start()
        front = LineFront(service, 200).start()
        service.serving = True
        loop, timers = asyncio.get_running_loop(), service.runtime.timers
        deadline = loop.time() + service.begin_shutdown() / 1000.0
        clients = [await asyncio.open_connection(*service.config.listen) for _ in range(CLIENTS)]
        if not established:
            await asyncio.sleep(
                deadline - loop.time() - 1.1 * STEP_BEFORE_END_S
            )  # their deadline is long after the end
        for number, (_, writer) in enumerate(clients):
            writer.write(f"OPEN {number:016x} 7f3a9c21e0b4d655 c=charge,t=acme,d=900\r\n".encode())
        stalls: list[float] = []

        def stall_and_set(delay_ms: float, timer: object) -> None:
            if timer == SHUTDOWN_TIMER and deadline - STEP_BEFORE_END_S < loop.time() < deadline and not stalls:
                stalls.append(loop.time())
                time.sleep(STALL_S)
            set_timer(delay_ms, timer)

        set_timer = timers.set
        monkeypatch.setattr(timers, "set", stall_and_set)
        await asyncio.sleep(deadline - loop.time())
        await front.shut_down(deadline + CONNECTION_CLOSE_S)
        assert stalls
        assert not service.reducer.requests
        final = (
            b"MOVE\r\n" if established else b"ERR\r\n"
        )  # a waiting request was sent to its backend and may have been executed
        assert [await asyncio.wait_for(reader.read(), WAIT_S) for reader, _ in clients] == [answer + final] * CLIENTS
        for _, writer in clients:
            writer.close()

    uvloop.run(body())


def test_a_failing_socket_option_does_not_lose_the_connection() -> None:
    class FailingSocket:
        family = socket.AF_INET

        def setsockopt(self, *args: Any) -> None:
            raise OSError(errno.ENOBUFS, "No buffer space available")

    class Transport(asyncio.Transport):
        def get_extra_info(self, name: str, default: Any = None) -> Any:
            return FailingSocket()

        def is_closing(self) -> bool:
            return False

        def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
            pass

    connection, transport = LineConnection(), Transport()
    connection.connection_made(transport)
    assert connection.open_transport is transport
