"""Where two events cross: real sockets and the real program; a stand-in holds one side until the other has happened.

`docs/design/crossings.md` lists the pairs."""

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
from tests.stand_ins import HEAD, SETTINGS, WAIT_S, Peer, Server, World, run

CHAT = dict(SETTINGS["categories"][0])
LONG_CONNECT_TIMEOUT = SETTINGS["limits"] | {"connect_timeout_ms": 8000.0}  # a connection that is held stays on its way
SHORT_DEADLINE: dict[str, Any] = {"categories": [CHAT | {"deadline_ms": 900.0}]}


async def wait_until(condition: Callable[[], bool]) -> None:
    for _ in range(int(WAIT_S / 0.005)):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("it did not come about")


ESTABLISHED, SYN_SENT = "01", "02"  # states in /proc/net/tcp


def tcp_sockets() -> list[list[str]]:
    """The rows of /proc/net/tcp: 1 is the local address, 2 the remote one, 3 the state, 4 the bytes unsent:unread."""
    with Path("/proc/net/tcp").open(encoding="ascii") as table:
        return [line.split() for line in table]


class UnacceptingBackend(Server):
    """An execute node to which no connection comes up until it is let go: its accept queue is full."""

    async def open(self) -> UnacceptingBackend:
        self.sock = socket.socket()
        self.port = free_port()
        self.sock.bind(("127.0.0.1", self.port))
        self.sock.listen(0)
        self.filler = socket.create_connection(("127.0.0.1", self.port))
        return self

    def has_pending_connection(self) -> bool:
        """Whether a connection is on its way here."""
        return any(row[2].endswith(f":{self.port:04X}") and row[3] == SYN_SENT for row in tcp_sockets())

    async def accept(self) -> None:
        self.filler.close()
        self.sock.accept()[0].close()
        self.server = await asyncio.start_server(self._take, sock=self.sock)

    def first_lines(self) -> list[bytes]:
        return [peer.first for peer in (self.came.get_nowait() for _ in range(self.came.qsize())) if peer.first]


def has_unread_bytes(port: int, client: bool = False) -> bool:
    """Whether bytes wait in the kernel, at the server that has this port or at a client of it."""
    address = 2 if client else 1
    rows = [row for row in tcp_sockets() if row[3] == ESTABLISHED and row[address].endswith(f":{port:04X}")]
    return any(int(row[4].split(":")[1], 16) > 0 for row in rows)


async def announce_endpoints(w: World, **phases: str) -> None:
    """The whole list as told on the watch that is open, or on the next, and taken."""
    if not hasattr(w, "watch"):
        await w.watched()
        w.watch.writer.write(HEAD)
    w.watch.writer.write(w.members(True, *(w.member(name.replace("_", "-"), p) for name, p in phases.items())))
    await w.logged(f"machine list {w.version}:")


async def unaccepting_backend(w: World) -> UnacceptingBackend:
    """s-1 takes no connection, and nothing else is ready."""
    w.backends["s-1"] = backend = await UnacceptingBackend().open()
    await announce_endpoints(w, s_1="ready", s_2="draining")
    return backend


async def begin_shutdown(w: World) -> None:
    """Asked to stop, and about it: the line is logged a little before."""
    w.stop()
    await w.logged("shutting down")
    assert await (await w.client("PING")).hear() == "NO"


# --- the end of the relay -------------------------------------------------------------------------


def test_shutdown_finishes_within_the_longest_deadline_and_the_kill_grace(tmp_path: Path) -> None:
    """The relay took 3.3 s whatever the settings said; where the longest deadline is 2 s, SIGKILL came after 2.7 s."""

    async def body(w: World) -> None:
        first, _, _ = await w.standing()
        waiting = await w.request(wait_ms=900)
        await w.placed()
        w.stop()
        start = time.monotonic()
        w.stop()  # a second one changes nothing, nor does a SIGHUP
        w.reload()
        assert await first.hear() == "MOVE" and (await waiting.hear()).startswith("BUSY")
        assert await asyncio.wait_for(w.process.wait(), WAIT_S) == 0 and time.monotonic() - start < 0.9 + 0.7

    run(tmp_path, body, **SHORT_DEADLINE)


def test_requests_unread_at_shutdown_are_answered_and_not_reset(tmp_path: Path) -> None:
    """The relay is held while they come and its time runs out; the first thing it does then is to end."""

    async def body(w: World) -> None:
        idle = await w.client()
        await begin_shutdown(w)
        w.process.send_signal(signal.SIGSTOP)
        idle.say("OPEN 00000000000000aa 7f3a9c21e0b4d655 c=chat,t=acme,d=800")
        late = [await w.request(wait_ms=800) for _ in range(20)]
        await asyncio.sleep(1.3)  # the time to end has come
        w.process.send_signal(signal.SIGCONT)
        for peer in (idle, *late):
            assert [(await peer.hear())[:4], await peer.hear()] == ["BUSY", ""]
        assert all(backend.came.empty() for backend in w.backends.values()), "nothing is begun any more"

    run(tmp_path, body, **SHORT_DEADLINE)


def test_a_request_on_an_idle_connection_after_shutdown_is_not_forwarded(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        w.stop()
        await w.logged("shutting down")
        idle = [await w.client("PING") for _ in range(3)]
        assert [await peer.hear() for peer in idle] == ["NO"] * 3
        while True:
            try:
                (await w.client()).writer.close()
            except OSError:  # the door has closed
                break
        idle[0].say("OPEN 00000000000000aa 7f3a9c21e0b4d655 c=chat,t=acme,d=800")
        assert (await idle[0].hear()).split(" ")[0] in ("BUSY", "")
        assert await idle[1].hear() == ""  # ended in order while it still rests
        idle[1].say("OPEN 00000000000000bb 7f3a9c21e0b4d655 c=chat,t=acme,d=800")
        assert await asyncio.wait_for(w.process.wait(), WAIT_S) == 0
        assert all(backend.came.empty() for backend in w.backends.values())

    run(tmp_path, body, **SHORT_DEADLINE)


def test_a_partial_line_from_a_backend_does_not_delay_move_at_shutdown(tmp_path: Path) -> None:
    """The move waited for the rest of the line for longer than the process still lived."""

    async def body(w: World) -> None:
        client, _, backend = await w.standing()
        backend.writer.write(b"half a l")
        assert await client.reader.readexactly(8) == b"half a l"
        await begin_shutdown(w)
        w.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(1.3)  # all that was to be done before the end is due at once
        w.process.send_signal(signal.SIGCONT)
        assert [await client.hear() for _ in range(3)] == ["", "MOVE", ""]

    run(tmp_path, body, **SHORT_DEADLINE)


def test_an_idle_connection_is_closed_without_reset_when_bytes_arrive_meanwhile(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        peer = await w.client("PING")
        assert await peer.hear() == "PONG"
        assert await peer.hear() == ""  # after 2 s
        peer.say("OPEN 00000000000000aa 7f3a9c21e0b4d655 c=chat,t=acme,d=800")
        await peer.writer.drain()
        peer.writer.write_eof()  # raises where the connection was reset
        await w.standing()
        assert all(backend.came.empty() for backend in w.backends.values())

    run(tmp_path, body)


# --- an answer and the end of its connection --------------------------------------------------------


@pytest.mark.parametrize("last", ["UP r1", "UP r1\r\nthe last line"])
def test_an_answer_followed_by_eof_reaches_the_client(tmp_path: Path, last: str) -> None:
    """The submitter's connection was cut with the answer still to be written."""

    async def body(w: World) -> None:
        client = await w.request()
        _, backend, _ = await w.placed()
        w.process.send_signal(signal.SIGSTOP)
        backend.say(last)
        backend.writer.close()
        await backend.writer.wait_closed()
        w.process.send_signal(signal.SIGCONT)
        assert [await client.hear() for _ in last.split("\r\n")] == last.split("\r\n")
        assert await client.hear() == ""

    run(tmp_path, body)


def test_one_answer_when_a_backend_answers_twice_or_sends_an_endless_line(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        client = await w.request()
        _, twice, _ = await w.placed()
        twice.say("BUSY")
        _, endless, _ = await w.placed()
        twice.say("UP r1")  # the second comes once the next attempt is out
        endless.writer.write(b"x" * 8192)
        _, backend, _ = await w.placed()
        endless.say("UP r2")
        backend.say("UP r3", "LOAD 5")
        assert [await client.hear(), await client.hear()] == ["UP r3", "LOAD 5"]
        assert [await twice.hear(), await endless.hear()] == ["", ""]

    run(tmp_path, body)


# --- the submitter leaves -----------------------------------------------------------------------------


@pytest.mark.parametrize("how", ["close", "half", "reset"])
def test_no_attempt_starts_for_a_client_that_left_while_connecting(tmp_path: Path, how: str) -> None:
    async def body(w: World) -> None:
        backend = await unaccepting_backend(w)
        leavers = [await w.request(wait_ms=1900) for _ in range(10)]
        await wait_until(backend.has_pending_connection)
        for peer in leavers:
            {"close": peer.writer.close, "half": peer.writer.write_eof, "reset": peer.writer.transport.abort}[how]()
        await wait_until(lambda: not backend.has_pending_connection())
        await backend.accept()
        stays, name, _ = await w.standing()
        assert name == "s-1" and not backend.first_lines()
        stays.say("hello")

    run(tmp_path, body, limits=LONG_CONNECT_TIMEOUT)


def test_no_attempt_starts_for_a_client_that_left_while_waiting_for_a_backend(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        await announce_endpoints(w, s_1="draining", s_2="draining")
        leavers = [await w.request(wait_ms=1900) for _ in range(10)]
        stays = await w.request(wait_ms=1900)
        for peer in leavers:
            peer.writer.write_eof()
            assert await peer.hear() == ""  # the relay has seen it
        await announce_endpoints(w, s_1="ready", s_2="draining")
        _, backend, _ = await w.placed()
        backend.say("UP r1")
        assert await stays.hear() == "UP r1"
        assert all(backend.came.empty() for backend in w.backends.values())

    run(tmp_path, body)


# --- drains -------------------------------------------------------------------------------------------


@pytest.mark.parametrize("phase", ["draining", "gone"])
def test_nothing_is_sent_to_a_backend_that_drains_while_connecting(tmp_path: Path, phase: str) -> None:
    async def body(w: World) -> None:
        backend = await unaccepting_backend(w)
        client = await w.request(wait_ms=1900)
        await wait_until(backend.has_pending_connection)
        await announce_endpoints(w, s_1=phase, s_2="ready")
        await wait_until(lambda: not backend.has_pending_connection())
        await backend.accept()
        name, other, _ = await w.placed()
        assert name == "s-2"
        other.say("UP r1")
        assert await client.hear() == "UP r1" and not backend.first_lines()

    run(tmp_path, body, limits=LONG_CONNECT_TIMEOUT)


def test_nothing_is_sent_to_a_backend_that_drains_one_iteration_after_connecting(
    tmp_path: Path,
) -> None:
    """The relay is held until a request and the drain wait for it: the connection stands and nothing was sent on it."""

    async def body(w: World) -> None:
        await announce_endpoints(w, s_1="ready", s_2="draining")
        idle = await w.client("PING")
        assert await idle.hear() == "PONG"
        w.process.send_signal(signal.SIGSTOP)
        idle.say("OPEN 00000000000000aa 7f3a9c21e0b4d655 c=chat,t=acme,d=1500")
        await wait_until(lambda: has_unread_bytes(w.port))
        w.watch.writer.write(w.members(True, w.member("s-1", "draining"), w.member("s-2")))
        await wait_until(lambda: has_unread_bytes(w.list.port, client=True))
        w.process.send_signal(signal.SIGCONT)
        name, backend, _ = await w.placed()
        backend.say("UP r1")
        assert (name, await idle.hear()) == ("s-2", "UP r1")

    run(tmp_path, body)


def test_an_attempt_is_not_sent_to_a_backend_that_restarted_while_connecting(tmp_path: Path) -> None:
    """It had been chosen as warm, and came on top of the budget of a cold node."""

    async def body(w: World) -> None:
        backend = await unaccepting_backend(w)
        client = await w.request(wait_ms=1900)
        await wait_until(backend.has_pending_connection)
        cold = w.member("s-1") | {"up_since_ms": time.time() * 1000.0}
        w.watch.writer.write(w.members(False, cold, w.member("s-2")))
        await w.logged("s-2 ready")
        await backend.accept()
        name, other, _ = await w.placed()
        assert name == "s-2"
        other.say("UP r1")
        assert await client.hear() == "UP r1" and not backend.first_lines()

    run(tmp_path, body, limits=LONG_CONNECT_TIMEOUT)


def test_a_retry_starts_within_the_deduplication_window_or_not_at_all(tmp_path: Path) -> None:
    """A connection that came up late carried a repeat that nobody took for one any more."""
    deduplicated = CHAT | {"effect": "token", "group": "all", "window_ms": 700.0}

    async def body(w: World) -> None:
        await announce_endpoints(w, s_1="draining", s_2="ready")
        client = await w.request(wait_ms=1900)
        start = time.monotonic()
        _, first, _ = await w.placed()
        w.backends["s-1"] = backend = await UnacceptingBackend().open()
        await announce_endpoints(w, s_1="ready", s_2="draining")
        first.writer.close()  # it may have run
        await wait_until(backend.has_pending_connection)
        await backend.accept()  # the system tries again a second after the first time: the window has closed by then
        assert (await client.hear()).split(" ")[0] in ("BUSY", "ERR") and time.monotonic() - start < 1.9
        assert not backend.first_lines()

    run(tmp_path, body, limits=LONG_CONNECT_TIMEOUT, categories=[deduplicated])


# --- the list -----------------------------------------------------------------------------------------


@pytest.mark.parametrize("sends_empty_lines", [False, True])
def test_a_watch_that_is_silent_or_sends_only_empty_lines_is_reopened(tmp_path: Path, sends_empty_lines: bool) -> None:
    """With the call that follows it the change is known within 6 s of the last word, also where one call hangs."""

    async def body(w: World) -> None:
        await w.watched()
        start, peer = time.monotonic(), w.watch
        w.watch.writer.write(HEAD + (b"" if sends_empty_lines else w.members(True, w.member("s-1"), w.member("s-2"))))

        async def send_empty_lines() -> None:
            while sends_empty_lines:
                peer.writer.write(b"1\r\n\n\r\n")
                await asyncio.sleep(0.5)

        sender = asyncio.ensure_future(send_empty_lines())
        await w.watched()  # and this one hangs
        await w.watched()
        sender.cancel()
        w.answer_watch(w.member("s-1", "draining"), w.member("s-2"))
        await w.logged(f"machine list {w.version}: s-1 draining")
        assert time.monotonic() - start < 5.5

    run(tmp_path, body)


@pytest.mark.parametrize("seed", ["2", "16"])  # whose first draws come late
def test_a_drain_that_began_before_the_start_is_known_within_its_grace(tmp_path: Path, seed: str) -> None:
    """It counts as told 6 s after discovery had it, also by a process that has started since: with a fleet of 182 the
    first call was made up to 4.8 s after the start. Drained 4 s before the start, and the grace is 0.4 s."""

    async def body(w: World) -> None:
        start, sent = time.monotonic(), []

        async def discovery() -> None:
            await w.watched()
            w.answer_watch(w.member("s-1", "draining"), w.member("s-2"))

        asked = asyncio.ensure_future(discovery())
        while time.monotonic() - start < 3.4:
            client, name, _ = await w.standing()
            sent.append((time.monotonic() - start, name))
            client.writer.close()
            await asyncio.sleep(0.05)
        await asked
        assert all(at < 6.0 - 4.0 + 0.4 for at, name in sent if name == "s-1")

    obligations = SETTINGS["obligations"] | {"ask_within_ms": 10_000.0}
    run(tmp_path, body, seed=seed, balancers=182, obligations=obligations)


def test_an_indented_endpoint_list_in_two_chunks_is_accepted(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        await w.watched()
        text = json.dumps({"revision": 9, "complete": True, "members": [w.member("s-2")]}, indent=2) + "\n"
        w.watch.writer.write(HEAD + b"%x\r\n%s\r\n" % (70, text[:70].encode()))
        await w.standing()
        w.watch.writer.write(b"%x\r\n%s\r\n" % (len(text) - 70, text[70:].encode()))
        await w.logged("machine list 9: s-1 gone")
        assert w.list.came.empty(), "the same watch goes on"

    run(tmp_path, body)


def test_revisions_of_the_former_discovery_service_are_not_resumed_from(tmp_path: Path) -> None:
    """Its revision was asked of the new service, which counts in another way and left out what came before."""

    async def body(w: World) -> None:
        await announce_endpoints(w, s_1="draining", s_2="ready")
        old = w.watch
        w.list = await Server().open()
        w.reload(discovery=f"127.0.0.1:{w.list.port}")
        assert (await w.watched()).endswith("index=0 HTTP/1.1")
        w.version = 70
        old.writer.write(w.members(False, w.member("s-1", "gone")))
        await w.logged("s-1 gone")
        w.watch.writer.close()
        assert (await w.watched()).endswith("index=0 HTTP/1.1"), "the whole list, as before"
        w.version = 3
        w.answer_watch(w.member("s-1"), w.member("s-2", "draining"))
        await w.logged("machine list 4: s-1 ready, s-2 draining")
        old.writer.write(w.members(True, w.member("s-2")))  # late word of the old one
        assert [(await w.standing())[1] for _ in range(6)] == ["s-1"] * 6

    run(tmp_path, body)


def test_idle_clients_leave_descriptors_for_the_watch_and_backends_while_discovery_is_down(tmp_path: Path) -> None:
    async def body(w: World) -> None:
        await w.watched()
        w.list.server.close()
        w.watch.writer.transport.abort()
        crowd = []
        for _ in range(300):
            peer = Peer(*await asyncio.open_connection("127.0.0.1", w.port))
            peer.writer.write(b"OPEN 0000")  # and no more of it
            crowd.append(peer)
        w.list = await Server().open()
        w.reload(discovery=f"127.0.0.1:{w.list.port}")
        await w.watched()
        w.answer_watch(w.member("s-1"), w.member("s-2", "draining"))
        await w.logged("s-2 draining")
        standing = [await w.standing() for _ in range(10)]
        ping = await w.client("PING")
        assert await ping.hear() == "PONG" and [name for _, name, _ in standing] == ["s-1"] * 10

    run(tmp_path, body, sockets=96)
