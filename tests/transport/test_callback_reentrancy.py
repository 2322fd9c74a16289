"""Sinks that end a connection within one of its callbacks, on real sockets.

Any call to a sink, a service or a callback may end the connection that makes it. No callback may raise because of that,
nothing more is reported of an ended connection, and both sockets are closed in the end.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager, suppress
from typing import Any, cast

import pytest
import uvloop

from yarrowspindle.operator_api import OperatorApi
from yarrowspindle.protocol.endpoint_list import ZoneAndKindNames
from yarrowspindle.protocol.lines import OpenRequest
from yarrowspindle.routing.effects import CheckHealth
from yarrowspindle.routing.events import HealthCheckCompleted
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.runtime.health_checker import HealthChecker
from yarrowspindle.transport import datagrams
from yarrowspindle.transport.backend import BackendConnection
from yarrowspindle.transport.client import ClientConnection
from yarrowspindle.transport.connector import ConnectFailure, Connector
from yarrowspindle.transport.endpoint_list_watch import WatchConnection
from yarrowspindle.transport.health_check_connection import HealthCheckConnection
from yarrowspindle.transport.line_connection import LineConnection

WAIT_S = 5.0
RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # of SO_LINGER
OPEN = b"OPEN 000000000000000a 00000000000000ff c=x,d=500\r\n"
STEP_S = 0.002
LOOPS = pytest.mark.parametrize("loop", (asyncio.run, uvloop.run), ids=("asyncio", "uvloop"))
Run = Callable[[Coroutine[Any, Any, None]], None]


@contextmanager
def no_callback_raises() -> Iterator[None]:
    failures: list[dict[str, Any]] = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: failures.append(context))
    yield
    assert not failures, "no callback of a transport raised"


async def connected(protocol: asyncio.BaseProtocol) -> socket.socket:
    """Connect the protocol. Return the other end of the connection."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        await asyncio.get_running_loop().create_connection(lambda: protocol, *listening.getsockname())
        peer, _ = listening.accept()
    peer.setblocking(False)
    return peer


def reset(sock: socket.socket) -> None:
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


def send(sock: socket.socket, data: bytes) -> None:
    with suppress(OSError):  # the relay has closed the connection
        sock.send(data)


async def wait_until(condition: Callable[[], bool]) -> None:
    for _ in range(int(WAIT_S / STEP_S)):
        if condition():
            return
        await asyncio.sleep(STEP_S)
    raise AssertionError("the condition did not become true in time")


# --- the two sides of a relayed connection --------------------------------------------------------


class Pair:
    """Both sides of a connection, with a sink that records its calls and runs an action once, in call `act_at`."""

    def __init__(self, act_at: int, action: Callable[[Pair], None]) -> None:
        self.act_at, self.action = act_at, action
        self.calls: list[str] = []
        self.client = ClientConnection(cast(Any, self))
        self.backend = BackendConnection(cast(Any, self), 7, 0)
        self.lost: set[LineConnection] = set()

    def _record(self, name: str) -> None:
        self.calls.append(name)
        if len(self.calls) - 1 == self.act_at:
            self.action(self)

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args: self._record(name)

    def ready(self) -> bool:
        return True

    def request_received(self, side: ClientConnection, opened: OpenRequest) -> None:
        side.request = 7
        self._record("request_received")

    def client_connection_lost(self, side: ClientConnection) -> None:
        self.lost.add(side)
        self._record("client_connection_lost")

    def backend_connection_lost(self, side: BackendConnection) -> None:
        self.lost.add(side)
        self._record("backend_connection_lost")

    def backend_accepted(self, side: BackendConnection) -> None:
        self._record("backend_accepted")
        if not self.client.closing and not self.backend.end_reported:
            self.client.start_relaying(self.backend, self.backend.up_line)
            self.backend.forward_early_data()


def finish_both(pair: Pair) -> None:
    pair.client.finish(b"BUSY\r\n")
    pair.backend.drop()


def abort_both(pair: Pair) -> None:
    pair.client.abort()
    pair.backend.abort()


def move(pair: Pair) -> None:
    pair.backend.migrate(pair.client)


def drop_the_attempt(pair: Pair) -> None:
    pair.backend.drop()


def answer_the_client(pair: Pair) -> None:
    pair.client.finish(b"ERR\r\n")


def reset_transports(pair: Pair) -> None:
    for side in (pair.client, pair.backend):
        if side.transport is not None:
            side.transport.abort()


ACTIONS = (finish_both, abort_both, move, drop_the_attempt, answer_the_client, reset_transports)

Script = Callable[[socket.socket, socket.socket], Awaitable[None]]


async def served_to_its_end(client: socket.socket, backend: socket.socket) -> None:
    for data in (b"UP r1\r\nLOAD 3\r\nearly\r\n", b"LOAD 5\r\nhello\r\nLOAD 7\r\nagain\r\nhal", b"f\r\nBYE\r\n"):
        send(client, b"a line\r\n" if data[0] != ord("U") else b"")
        send(backend, data)
        await asyncio.sleep(STEP_S)
    backend.close()


async def cut_by_its_client(client: socket.socket, backend: socket.socket) -> None:
    send(backend, b"UP r1\r\nx\r\n")
    await asyncio.sleep(STEP_S)
    send(client, b"a line\r\nand half a")
    reset(client)


async def ended_by_its_client(client: socket.socket, backend: socket.socket) -> None:
    send(backend, b"UP r1\r\n")
    await asyncio.sleep(STEP_S)
    send(client, b"a line\r\n")
    with suppress(OSError):
        client.shutdown(socket.SHUT_WR)


async def reset_by_its_backend(client: socket.socket, backend: socket.socket) -> None:
    send(backend, b"UP r1\r\nx\r\n")
    await asyncio.sleep(STEP_S)
    send(client, b"a line\r\n")
    reset(backend)


async def rejected(client: socket.socket, backend: socket.socket) -> None:
    send(backend, b"BUSY\r\n")


async def nonsense(client: socket.socket, backend: socket.socket) -> None:
    send(client, b"too early\r\n")
    send(backend, b"\xff\xfe" * 4000)


SCRIPTS = (served_to_its_end, cut_by_its_client, ended_by_its_client, reset_by_its_backend, rejected, nonsense)


async def run_script(script: Script, act_at: int, action: Callable[[Pair], None]) -> Pair:
    """Run a script, then check that all sockets are closed."""
    pair = Pair(act_at, action)
    client = await connected(pair.client)
    send(client, OPEN)
    backend = await connected(pair.backend)
    pair.backend.send_request(OPEN)
    await asyncio.sleep(STEP_S)
    await script(client, backend)
    await asyncio.sleep(2.0 * STEP_S)
    client.close()
    backend.close()
    await wait_until(lambda: len(pair.lost) == 2)
    return pair


@LOOPS
@pytest.mark.parametrize("action", ACTIONS, ids=lambda action: action.__name__)
@pytest.mark.parametrize("script", SCRIPTS, ids=lambda script: script.__name__)
def test_any_callback_may_end_a_relayed_connection(script: Script, action: Any, loop: Run) -> None:
    """Guard against using a connection after a call that may have ended it: uvloop drops a transport that raises."""

    async def body() -> None:
        with no_callback_raises():
            calls = (await run_script(script, -1, action)).calls
            assert len(calls) >= 5, calls
            for number in range(len(calls)):
                pair = await run_script(script, number, action)
                assert pair.calls.count("attempt_ended") <= 1 and pair.calls.count("client_disconnected") <= 1

    loop(body())


# --- connections of one side ----------------------------------------------------------------------


class EndingSink:
    """A sink that records its calls, and ends the connection in its first call of the given name."""

    def __init__(self, name: str, end: Callable[[Any], None]) -> None:
        self.name, self.end = name, end
        self.calls: list[str] = []
        self.calls_after_end: list[str] = []

    def __getattr__(self, name: str) -> Callable[..., None]:
        def record(side: Any, *args: Any) -> None:
            if self.name in self.calls:
                self.calls_after_end.append(name)
            self.calls.append(name)
            if name == self.name and self.calls.count(name) == 1:
                self.end(side)

        return record


def json_list(version: int) -> bytes:
    line = b'{"revision":%d,"complete":true,"members":[]}\n' % version
    return b"%x\r\n%s\r\n" % (len(line), line)


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@LOOPS
@pytest.mark.parametrize("name", ("endpoints_received", "watch_active", "watch_ended"))
@pytest.mark.parametrize("last", (b"", b"0\r\n\r\n", b"1\r\n{\r\n0\r\n\r\n", b"nonsense"), ids=repr)
def test_any_callback_may_end_a_watch(last: bytes, name: str, loop: Run) -> None:
    """Guard against reporting lists of a watch that the previous report has ended."""

    async def body() -> None:
        sink = EndingSink(name, lambda watch: watch.end("by its sink"))
        with no_callback_raises():
            watch = WatchConnection(cast(Any, sink), ZoneAndKindNames(), ("127.0.0.1", 1), 0)
            watch.start_first_list_timer()
            service = await connected(watch)
            send(service, HEAD + json_list(2) + json_list(3))
            await asyncio.sleep(STEP_S)
            send(service, json_list(4) + last)
            await asyncio.sleep(STEP_S)
            service.close()
            await wait_until(lambda: watch.ended)
            await asyncio.sleep(STEP_S)
        assert sink.calls.count("watch_ended") == 1
        assert set(sink.calls_after_end) <= {"watch_ended"}

    loop(body())


@LOOPS
@pytest.mark.parametrize("name", ("health_check_answered", "health_check_ended"))
@pytest.mark.parametrize(
    "answer", (b"PONG x=1\r\n", b"PONG x=1\r\nPONG x=1\r\n", b"\xff" * 5000), ids=("one", "two", "none")
)
def test_any_callback_may_end_a_health_check(answer: bytes, name: str, loop: Run) -> None:
    """Guard against reading replies on a connection that the previous report has ended."""

    async def body() -> None:
        sink = EndingSink(name, lambda side: side.end(TerminationReason.NOT_SENT, "by its sink"))
        with no_callback_raises():
            side = HealthCheckConnection(cast(Any, sink), "s-1")
            side.send_probe()
            backend = await connected(side)
            await asyncio.sleep(STEP_S)
            send(backend, answer)
            await asyncio.sleep(STEP_S)
            backend.close()
            await wait_until(lambda: side.ended)
        assert sink.calls.count("health_check_ended") == 1
        assert set(sink.calls_after_end) <= {"health_check_ended"}

    loop(body())


@LOOPS
@pytest.mark.parametrize("next_check", ("leaves the other", "makes room by closing the other"))
def test_the_report_on_a_cancelled_health_check_may_end_other_health_checks(next_check: str, loop: Run) -> None:
    """Guard against a KeyError if the report on a cancelled check ends another that is about to be cancelled."""

    async def body() -> None:
        idle = [await QuietBackend().open() for _ in range(2)]
        completed_backends: list[str] = []

        def on_completed(completed: HealthCheckCompleted) -> None:
            completed_backends.append(completed.backend)
            if len(completed_backends) > 1:
                return
            if next_check.startswith("leaves"):
                checker.disconnect({"s-0", "s-1"})
            else:
                for name in ("s-0", "s-1"):
                    if name in checker.backends:
                        checker.backends[name].side.awaiting_reply = False  # its reply has been received
                checker.probe(CheckHealth("s-2", idle[0].address, 500.0))

        checker = HealthChecker((), 10.0, on_completed, lambda text: None, max_connections=2)
        for number, backend in enumerate(idle):
            checker.probe(CheckHealth(f"s-{number}", backend.address, 500.0))
        checker.max_connections = 1
        checker.disconnect({"s-0", "s-1"})
        assert not checker.backends.keys() & {"s-0", "s-1"}
        checker.close()
        for backend in idle:
            backend.server.close()

    loop(body())


class QuietBackend:
    """A backend that accepts connections and sends nothing."""

    async def open(self) -> QuietBackend:
        self.server = await asyncio.get_running_loop().create_server(asyncio.Protocol, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        return self


@LOOPS
@pytest.mark.parametrize("event", ("received", "refused"))
def test_any_callback_may_close_a_datagram_path(event: str, loop: Run) -> None:
    """Guard against sending queued datagrams on a path that the report on the first datagram has closed."""

    async def body() -> None:
        calls: list[str] = []

        def closes(name: str) -> Callable[..., None]:
            def called(path: datagrams.BackendPath, *args: Any) -> None:
                calls.append(name)
                path.close()

            return called

        with no_callback_raises(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as backend:
            backend.bind(("127.0.0.1", 0))
            address = backend.getsockname()
            if event == "refused":
                backend.close()
            path = datagrams.BackendPath(closes("received"), closes("refused"), ("127.0.0.1", 1))
            for number in range(5):
                path.send(b"%d" % number)
            await asyncio.get_running_loop().create_datagram_endpoint(lambda: path, remote_addr=address)
            if event == "received":
                assert path.transport is not None
                for _ in range(3):
                    backend.sendto(b"x", path.transport.get_extra_info("sockname"))
            await wait_until(lambda: path.closed)
            await asyncio.sleep(STEP_S)
        assert calls == [event]

    loop(body())


@LOOPS
@pytest.mark.parametrize("size", (10, 10_000_000), ids=("a short answer", "an answer larger than the buffers"))
@pytest.mark.parametrize("ended_by", ("its route", "its caller", "nobody"))
def test_a_call_of_the_operator_api_may_be_closed_by_its_handler_or_caller(ended_by: str, size: int, loop: Run) -> None:
    """Guard against answering a call that its handler has closed, or whose caller has disconnected."""

    async def body() -> None:
        failed: list[str] = []
        callers: list[socket.socket] = []

        def called() -> tuple[int, str]:
            if ended_by == "its route":
                api.close()
            elif ended_by == "its caller":
                reset(callers[0])
            return 200, "x" * size

        api = OperatorApi({"/": {"GET": called}}, failed.append)
        await api.start("127.0.0.1", 0)
        with no_callback_raises():
            callers.append(socket.create_connection(("127.0.0.1", api.port)))
            callers[0].sendall(b"GET / HTTP/1.1\r\n\r\n")
            await asyncio.sleep(10.0 * STEP_S)
            reset(callers[0])
            await wait_until(lambda: not api.calls)
        api.close()
        assert not failed

    loop(body())


@LOOPS
@pytest.mark.parametrize("port_is", ("open", "closed"))
def test_any_callback_may_cancel_a_connector(port_is: str, loop: Run) -> None:
    """Guard against a second report on a connector that its first report has cancelled."""

    async def body() -> None:
        events: list[str] = []

        class Made(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                events.append("made")
                connecting.cancel()
                cast(asyncio.Transport, transport).abort()

        def failed(failure: ConnectFailure) -> None:
            events.append("failed")
            connecting.cancel()

        backend = await QuietBackend().open()
        if port_is == "closed":
            backend.server.close()
        with no_callback_raises():
            connecting = Connector(Made(), backend.address, failed)
            connecting.start(0.5)
            await wait_until(lambda: bool(events))
            await asyncio.sleep(5.0 * STEP_S)
        assert events == ["made" if port_is == "open" else "failed"]
        backend.server.close()

    loop(body())
