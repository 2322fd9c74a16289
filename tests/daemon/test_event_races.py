"""Races between two events, on real sockets and a real relay; a stand-in delays one event until the other has happened.

`docs/design/crossings.md` lists the pairs of events.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.ports import free_port
from tests.stand_ins import SETTINGS, TIMEOUT_S, WATCH_RESPONSE_HEAD, LinePeer, LineServer, RelayEnvironment, run

CHAT = dict(SETTINGS["categories"][0])
LONG_CONNECT_TIMEOUT = SETTINGS["limits"] | {"connect_timeout_ms": 8000.0}  # a delayed connection keeps connecting
SHORT_DEADLINE: dict[str, Any] = {"categories": [CHAT | {"deadline_ms": 900.0}]}


async def wait_until(condition: Callable[[], bool]) -> None:
    for _ in range(int(TIMEOUT_S / 0.005)):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the condition did not become true")


WINDOW_MARGIN_S = 0.02  # by which a relay ends a deduplication window early: its clock's tick and the answer's slack
ESTABLISHED, SYN_SENT = "01", "02"  # states in /proc/net/tcp


def tcp_sockets() -> list[list[str]]:
    """Return the rows of /proc/net/tcp. Columns: 1 local address, 2 remote address, 3 state, 4 bytes unsent:unread."""
    with Path("/proc/net/tcp").open(encoding="ascii") as table:
        return [line.split() for line in table]


class UnacceptingBackend(LineServer):
    """A backend to which no connection is established before `accept`, since its accept queue is full."""

    async def open(self) -> UnacceptingBackend:
        self.sock = socket.socket()
        self.port = free_port()
        self.sock.bind(("127.0.0.1", self.port))
        self.sock.listen(0)
        self.filler = socket.create_connection(("127.0.0.1", self.port))
        return self

    def has_pending_connection(self) -> bool:
        """Return whether a connection to this backend is being established."""
        return any(row[2].endswith(f":{self.port:04X}") and row[3] == SYN_SENT for row in tcp_sockets())

    async def accept(self) -> None:
        self.filler.close()
        self.sock.accept()[0].close()
        self.server = await asyncio.start_server(self._accept, sock=self.sock)

    def first_lines(self) -> list[bytes]:
        return [
            peer.first_line
            for peer in (self.accepted.get_nowait() for _ in range(self.accepted.qsize()))
            if peer.first_line
        ]


def has_unread_bytes(port: int, client: bool = False) -> bool:
    """Return whether the kernel has unread bytes for the server at this port, or for a client of it."""
    address = 2 if client else 1
    rows = [row for row in tcp_sockets() if row[3] == ESTABLISHED and row[address].endswith(f":{port:04X}")]
    return any(int(row[4].split(":")[1], 16) > 0 for row in rows)


async def announce_endpoints(env: RelayEnvironment, **phases: str) -> None:
    """Send the full endpoint list on the open watch, or on the next one, and wait until the relay uses it."""
    if not hasattr(env, "watch"):
        await env.next_watch()
        env.watch.writer.write(WATCH_RESPONSE_HEAD)
    env.watch.writer.write(
        env.endpoint_list_chunk(True, *(env.endpoint(name.replace("_", "-"), p) for name, p in phases.items()))
    )
    await env.next_log_line(f"machine list {env.revision}:")


async def stop_accepting_at_s1(env: RelayEnvironment) -> UnacceptingBackend:
    """Make s-1 accept no connection, and leave no other backend ready."""
    env.backends["s-1"] = backend = await UnacceptingBackend().open()
    await announce_endpoints(env, s_1="ready", s_2="draining")
    return backend


async def begin_shutdown(env: RelayEnvironment) -> None:
    """Stop the relay and wait until it is shutting down, which is slightly after the log line."""
    env.stop()
    await env.next_log_line("shutting down")
    assert await (await env.connect_client("PING")).read_line() == "NO"


# --- shutdown of the relay ------------------------------------------------------------------------


def test_shutdown_finishes_within_the_longest_deadline_and_the_kill_grace(tmp_path: Path) -> None:
    """Guard against a fixed shutdown time of 3.3 s: with a longest deadline of 2 s, SIGKILL comes after 2.7 s."""

    async def body(env: RelayEnvironment) -> None:
        first, _, _ = await env.established_connection()
        waiting = await env.open_request(deadline_ms=900)
        await env.next_attempt()
        env.stop()
        start = time.monotonic()
        env.stop()  # a second one changes nothing, nor does a SIGHUP
        env.reload()
        assert await first.read_line() == "MOVE" and (await waiting.read_line()).startswith("BUSY")
        assert await asyncio.wait_for(env.process.wait(), TIMEOUT_S) == 0 and time.monotonic() - start < 0.9 + 0.7

    run(tmp_path, body, **SHORT_DEADLINE)


def test_requests_unread_at_shutdown_are_answered_and_not_reset(tmp_path: Path) -> None:
    """The relay is stopped while requests arrive and until its shutdown time has passed; then it continues."""

    async def body(env: RelayEnvironment) -> None:
        idle = await env.connect_client()
        await begin_shutdown(env)
        env.process.send_signal(signal.SIGSTOP)
        idle.send_lines("OPEN 00000000000000aa 7f3a9c21e0b4d655 c=chat,t=acme,d=800")
        late = [await env.open_request(deadline_ms=800) for _ in range(20)]
        await asyncio.sleep(1.3)  # the shutdown time has passed
        env.process.send_signal(signal.SIGCONT)
        for peer in (idle, *late):
            assert [(await peer.read_line())[:4], await peer.read_line()] == ["BUSY", ""]
        assert all(backend.accepted.empty() for backend in env.backends.values()), "no attempt starts any more"

    run(tmp_path, body, **SHORT_DEADLINE)


def test_a_request_on_an_idle_connection_after_shutdown_is_not_forwarded(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        env.stop()
        await env.next_log_line("shutting down")
        idle = [await env.connect_client("PING") for _ in range(3)]
        assert [await peer.read_line() for peer in idle] == ["NO"] * 3
        while True:
            try:
                (await env.connect_client()).writer.close()
            except OSError:  # the relay has stopped listening
                break
        idle[0].send_lines("OPEN 00000000000000aa 7f3a9c21e0b4d655 c=chat,t=acme,d=800")
        assert (await idle[0].read_line()).split(" ")[0] in ("BUSY", "")
        assert await idle[1].read_line() == ""  # closed without a reset while it is idle
        idle[1].send_lines("OPEN 00000000000000bb 7f3a9c21e0b4d655 c=chat,t=acme,d=800")
        assert await asyncio.wait_for(env.process.wait(), TIMEOUT_S) == 0
        assert all(backend.accepted.empty() for backend in env.backends.values())

    run(tmp_path, body, **SHORT_DEADLINE)


def test_a_partial_line_from_a_backend_does_not_delay_move_at_shutdown(tmp_path: Path) -> None:
    """Guard against a MOVE that waits for the rest of the line until the process has exited."""

    async def body(env: RelayEnvironment) -> None:
        client, _, backend = await env.established_connection()
        backend.writer.write(b"whole\r\nhalf a l")
        assert await client.read_line() == "whole"
        await begin_shutdown(env)
        env.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(1.3)  # all steps of the shutdown are due at once
        env.process.send_signal(signal.SIGCONT)
        assert await asyncio.wait_for(client.reader.read(), TIMEOUT_S) == b"MOVE\r\n"

    run(tmp_path, body, **SHORT_DEADLINE)


def test_an_idle_connection_is_closed_without_reset_when_bytes_arrive_meanwhile(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        peer = await env.connect_client("PING")
        assert await peer.read_line() == "PONG"
        assert await peer.read_line() == ""  # after 2 s
        peer.send_lines("OPEN 00000000000000aa 7f3a9c21e0b4d655 c=chat,t=acme,d=800")
        await peer.writer.drain()
        peer.writer.write_eof()  # raises if the connection was reset
        await env.established_connection()
        assert all(backend.accepted.empty() for backend in env.backends.values())

    run(tmp_path, body)


# --- an answer and the close of its connection ----------------------------------------------------


@pytest.mark.parametrize("last", ["UP r1", "UP r1\r\nthe last line"])
def test_an_answer_followed_by_eof_reaches_the_client(tmp_path: Path, last: str) -> None:
    """Guard against closing the client's connection before the answer is written."""

    async def body(env: RelayEnvironment) -> None:
        client = await env.open_request()
        _, backend, _ = await env.next_attempt()
        env.process.send_signal(signal.SIGSTOP)
        backend.send_lines(last)
        backend.writer.close()
        await backend.writer.wait_closed()
        env.process.send_signal(signal.SIGCONT)
        assert [await client.read_line() for _ in last.split("\r\n")] == last.split("\r\n")
        assert await client.read_line() == ""

    run(tmp_path, body)


def test_one_answer_when_a_backend_answers_twice_or_sends_an_endless_line(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        client = await env.open_request()
        _, twice, _ = await env.next_attempt()
        twice.send_lines("BUSY")
        _, endless, _ = await env.next_attempt()
        twice.send_lines("UP r1")  # its second answer arrives after the next attempt has started
        endless.writer.write(b"x" * 8192)
        _, backend, _ = await env.next_attempt()
        endless.send_lines("UP r2")
        backend.send_lines("UP r3", "LOAD 5")
        assert [await client.read_line(), await client.read_line()] == ["UP r3", "LOAD 5"]
        assert [await twice.read_line(), await endless.read_line()] == ["", ""]

    run(tmp_path, body)


# --- the client disconnects -----------------------------------------------------------------------


@pytest.mark.parametrize("how", ["close", "half", "reset"])
def test_no_attempt_starts_for_a_client_that_left_while_connecting(tmp_path: Path, how: str) -> None:
    async def body(env: RelayEnvironment) -> None:
        backend = await stop_accepting_at_s1(env)
        leaving_clients = [await env.open_request(deadline_ms=1900) for _ in range(10)]
        await wait_until(backend.has_pending_connection)
        for peer in leaving_clients:
            {"close": peer.writer.close, "half": peer.writer.write_eof, "reset": peer.writer.transport.abort}[how]()
        await wait_until(lambda: not backend.has_pending_connection())
        await backend.accept()
        remaining_client, name, _ = await env.established_connection()
        assert name == "s-1" and not backend.first_lines()
        remaining_client.send_lines("hello")

    run(tmp_path, body, limits=LONG_CONNECT_TIMEOUT)


def test_no_attempt_starts_for_a_client_that_left_while_waiting_for_a_backend(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        await announce_endpoints(env, s_1="draining", s_2="draining")
        leaving_clients = [await env.open_request(deadline_ms=1900) for _ in range(10)]
        remaining_client = await env.open_request(deadline_ms=1900)
        for peer in leaving_clients:
            peer.writer.write_eof()
            assert await peer.read_line() == ""  # the relay has noticed that the client left
        await announce_endpoints(env, s_1="ready", s_2="draining")
        _, backend, _ = await env.next_attempt()
        backend.send_lines("UP r1")
        assert await remaining_client.read_line() == "UP r1"
        assert all(backend.accepted.empty() for backend in env.backends.values())

    run(tmp_path, body)


# --- drains ---------------------------------------------------------------------------------------


@pytest.mark.parametrize("phase", ["draining", "gone"])
def test_nothing_is_sent_to_a_backend_that_drains_while_connecting(tmp_path: Path, phase: str) -> None:
    async def body(env: RelayEnvironment) -> None:
        backend = await stop_accepting_at_s1(env)
        client = await env.open_request(deadline_ms=1900)
        await wait_until(backend.has_pending_connection)
        await announce_endpoints(env, s_1=phase, s_2="ready")
        await wait_until(lambda: not backend.has_pending_connection())
        await backend.accept()
        name, other, _ = await env.next_attempt()
        assert name == "s-2"
        other.send_lines("UP r1")
        assert await client.read_line() == "UP r1" and not backend.first_lines()

    run(tmp_path, body, limits=LONG_CONNECT_TIMEOUT)


def test_nothing_is_sent_to_a_backend_that_drains_one_iteration_after_connecting(
    tmp_path: Path,
) -> None:
    """The relay resumes with a request and a drain unread: it connects to s-1 before it reads the drain."""

    async def body(env: RelayEnvironment) -> None:
        await announce_endpoints(env, s_1="ready", s_2="draining")
        idle = await env.connect_client("PING")
        assert await idle.read_line() == "PONG"
        env.process.send_signal(signal.SIGSTOP)
        idle.send_lines("OPEN 00000000000000aa 7f3a9c21e0b4d655 c=chat,t=acme,d=1500")
        await wait_until(lambda: has_unread_bytes(env.port))
        env.watch.writer.write(env.endpoint_list_chunk(True, env.endpoint("s-1", "draining"), env.endpoint("s-2")))
        await wait_until(lambda: has_unread_bytes(env.discovery.port, client=True))
        env.process.send_signal(signal.SIGCONT)
        name, backend, _ = await env.next_attempt()
        backend.send_lines("UP r1")
        assert (name, await idle.read_line()) == ("s-2", "UP r1")

    run(tmp_path, body)


def test_an_attempt_is_not_sent_to_a_backend_that_restarted_while_connecting(tmp_path: Path) -> None:
    """Guard against a request to a backend that was chosen as warm and now exceeds its slow-start budget."""

    async def body(env: RelayEnvironment) -> None:
        backend = await stop_accepting_at_s1(env)
        client = await env.open_request(deadline_ms=1900)
        await wait_until(backend.has_pending_connection)
        cold = env.endpoint("s-1") | {"up_since_ms": time.time() * 1000.0}
        env.watch.writer.write(env.endpoint_list_chunk(False, cold, env.endpoint("s-2")))
        await env.next_log_line("s-2 ready")
        await backend.accept()
        name, other, _ = await env.next_attempt()
        assert name == "s-2"
        other.send_lines("UP r1")
        assert await client.read_line() == "UP r1" and not backend.first_lines()

    run(tmp_path, body, limits=LONG_CONNECT_TIMEOUT)


def test_a_retry_starts_within_the_deduplication_window_or_not_at_all(tmp_path: Path) -> None:
    """Guard against a retry on a late connection, which the backend no longer recognizes as a duplicate."""
    window_s = 0.7
    deduplicated = CHAT | {"effect": "token", "group": "all", "window_ms": 1000.0 * window_s}

    async def body(env: RelayEnvironment) -> None:
        while not await retry_within_window(env):
            pass  # the machine was so busy that the window had closed before the first connection did

    async def retry_within_window(env: RelayEnvironment) -> bool:
        """Force the race once; return False if the window had closed before the retry could start."""
        await announce_endpoints(env, s_1="draining", s_2="ready")
        env.backends["s-1"] = backend = await UnacceptingBackend().open()
        client = await env.open_request(deadline_ms=1900)
        start = time.monotonic()
        _, first, _ = await env.next_attempt()
        await announce_endpoints(env, s_1="ready", s_2="draining")
        first.writer.close()  # the request may have been executed
        answer = asyncio.ensure_future(client.read_line())
        await wait_until(lambda: answer.done() or backend.has_pending_connection())
        retried = not answer.done()
        if retried:
            await backend.accept()  # SYN is resent after 1 s, when the window has ended
        assert (await answer).split(" ")[0] in ("BUSY", "ERR") and time.monotonic() - start < 1.9
        assert not retried or not backend.first_lines()
        assert retried or time.monotonic() - start > window_s - WINDOW_MARGIN_S, "the retry is due within the window"
        return retried

    run(tmp_path, body, limits=LONG_CONNECT_TIMEOUT, categories=[deduplicated])


# --- the endpoint list ----------------------------------------------------------------------------


@pytest.mark.parametrize("sends_empty_lines", [False, True])
def test_a_watch_that_is_silent_or_sends_only_empty_lines_is_reopened(tmp_path: Path, sends_empty_lines: bool) -> None:
    """A change is known within 6 s of the last message of the watch, even if the first call after it hangs."""

    async def body(env: RelayEnvironment) -> None:
        await env.next_watch()
        start, peer = time.monotonic(), env.watch
        env.watch.writer.write(
            WATCH_RESPONSE_HEAD
            + (b"" if sends_empty_lines else env.endpoint_list_chunk(True, env.endpoint("s-1"), env.endpoint("s-2")))
        )

        async def send_empty_lines() -> None:
            while sends_empty_lines:
                peer.writer.write(b"1\r\n\n\r\n")
                await asyncio.sleep(0.5)

        sender = asyncio.ensure_future(send_empty_lines())
        await env.next_watch()  # this call hangs
        await env.next_watch()
        sender.cancel()
        env.answer_watch(env.endpoint("s-1", "draining"), env.endpoint("s-2"))
        await env.next_log_line(f"machine list {env.revision}: s-1 draining")
        assert time.monotonic() - start < 5.5

    run(tmp_path, body)


@pytest.mark.parametrize("seed", ["2", "16"])  # seeds whose first random delays are long
def test_a_drain_that_began_before_the_start_is_known_within_its_grace(tmp_path: Path, seed: str) -> None:
    """Guard against a first list call as late as 4.8 s after the start, which a fleet of 182 relays led to.

    A drain counts as known 6 s after discovery has it, also in a process that started later. Here the drain began 4 s
    before the start, and the grace is 0.4 s.
    """

    async def body(env: RelayEnvironment) -> None:
        start, sent = time.monotonic(), []

        async def discovery() -> None:
            await env.next_watch()
            env.answer_watch(env.endpoint("s-1", "draining"), env.endpoint("s-2"))

        discovery_task = asyncio.ensure_future(discovery())
        while time.monotonic() - start < 3.4:
            client, name, _ = await env.established_connection()
            sent.append((time.monotonic() - start, name))
            client.writer.close()
            await asyncio.sleep(0.05)
        await discovery_task
        assert all(at < 6.0 - 4.0 + 0.4 for at, name in sent if name == "s-1")

    obligations = SETTINGS["obligations"] | {"ask_within_ms": 10_000.0}
    run(tmp_path, body, seed=seed, balancers=182, obligations=obligations)


def test_an_indented_endpoint_list_in_two_chunks_is_accepted(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        await env.next_watch()
        text = json.dumps({"revision": 9, "complete": True, "members": [env.endpoint("s-2")]}, indent=2) + "\n"
        env.watch.writer.write(WATCH_RESPONSE_HEAD + b"%x\r\n%s\r\n" % (70, text[:70].encode()))
        await env.established_connection()
        env.watch.writer.write(b"%x\r\n%s\r\n" % (len(text) - 70, text[70:].encode()))
        await env.next_log_line("machine list 9: s-1 gone")
        assert env.discovery.accepted.empty(), "the same watch continues"

    run(tmp_path, body)


def test_revisions_of_the_former_discovery_service_are_not_resumed_from(tmp_path: Path) -> None:
    """Guard against requesting the old service's revision from the new one, which counts revisions differently."""

    async def body(env: RelayEnvironment) -> None:
        await announce_endpoints(env, s_1="draining", s_2="ready")
        old = env.watch
        env.discovery = await LineServer().open()
        env.reload(discovery=f"127.0.0.1:{env.discovery.port}")
        assert (await env.next_watch()).endswith("index=0 HTTP/1.1")
        env.revision = 70
        old.writer.write(env.endpoint_list_chunk(False, env.endpoint("s-1", "gone")))
        await env.next_log_line("s-1 gone")
        env.watch.writer.close()
        assert (await env.next_watch()).endswith("index=0 HTTP/1.1"), "the full list is requested again"
        env.revision = 3
        env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2", "draining"))
        await env.next_log_line("machine list 4: s-1 ready, s-2 draining")
        old.writer.write(env.endpoint_list_chunk(True, env.endpoint("s-2")))  # a late message of the old service
        assert [(await env.established_connection())[1] for _ in range(6)] == ["s-1"] * 6

    run(tmp_path, body)


def test_idle_clients_leave_descriptors_for_the_watch_and_backends_while_discovery_is_down(tmp_path: Path) -> None:
    async def body(env: RelayEnvironment) -> None:
        await env.next_watch()
        env.discovery.server.close()
        env.watch.writer.transport.abort()
        crowd = []
        for _ in range(300):
            peer = LinePeer(*await asyncio.open_connection("127.0.0.1", env.port))
            peer.writer.write(b"OPEN 0000")  # the rest of the line never follows
            crowd.append(peer)
        env.discovery = await LineServer().open()
        env.reload(discovery=f"127.0.0.1:{env.discovery.port}")
        await env.next_watch()
        env.answer_watch(env.endpoint("s-1"), env.endpoint("s-2", "draining"))
        await env.next_log_line("s-2 draining")
        connections = [await env.established_connection() for _ in range(10)]
        ping = await env.connect_client("PING")
        assert await ping.read_line() == "PONG" and [name for _, name, _ in connections] == ["s-1"] * 10

    run(tmp_path, body, sockets=96)
