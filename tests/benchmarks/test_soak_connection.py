"""The soak's own ends of connections: times and ends do not depend on how late the soak is."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Iterator
from math import inf
from typing import Any, cast

import pytest

from benchmarks.soak.arrivals import CLOCK_TICK_S, data_age_s, end_age_s, note_arrivals, read_first_byte
from benchmarks.soak.clients import PROMPT_S, Conversation
from benchmarks.soak.connection import RESET_AT_CLOSE
from benchmarks.soak.oracle import Request

HELD_S, WAIT_S = 0.2, 10.0
CLOCKS_S = HELD_S / 2.0  # by which the two clocks may be read apart on a busy machine


def conversation() -> Conversation:
    request = Request("a", "r0.1", "charge", "side_effect", "cell", 0.4, 1.0)
    return Conversation(time.monotonic, request)


async def connected(made: Conversation) -> socket.socket:
    """Connects it; the relay's end."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        assert await made.connection.open(listening.getsockname(), 1.0)
        relay, _ = listening.accept()
    return relay


def shut(relay: socket.socket) -> None:
    relay.shutdown(socket.SHUT_WR)


def reset(relay: socket.socket) -> None:
    relay.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    relay.close()


@pytest.fixture
def times_are_noted() -> Iterator[None]:
    """The kernel notes when bytes arrive: it begins a little after the first socket asks for it."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        near = socket.create_connection(listening.getsockname())
        far, _ = listening.accept()
    note_arrivals(far)
    for _ in range(100):
        near.send(b"x")
        time.sleep(0.02)
        if read_first_byte(far)[1] > 0.01:
            break
    yield
    near.close()
    far.close()


@pytest.mark.usefixtures("times_are_noted")
def test_an_answer_has_the_time_of_its_arrival_however_late_it_is_read() -> None:
    async def body() -> None:
        made = conversation()
        relay = await connected(made)
        made.ask(b"OPEN\r\n")
        began = time.monotonic()
        relay.send(b"BUSY\r\n")
        ended = time.monotonic()
        time.sleep(HELD_S)
        made.connection.read()
        ((at, word),) = made.request.answers
        assert word == "BUSY" and began - CLOCKS_S <= at <= ended + CLOCKS_S
        made.connection.close()
        relay.close()

    asyncio.run(body())


@pytest.mark.parametrize("end", (shut, reset, socket.socket.close))
@pytest.mark.parametrize("rests", (True, False))
def test_a_line_crosses_only_an_end_that_was_there_and_only_on_a_rested_connection(
    rests: bool, end: Callable[[socket.socket], None]
) -> None:
    async def body() -> None:
        made = conversation()
        relay = await connected(made)
        if rests:
            await asyncio.sleep(2.0 * PROMPT_S)
        else:
            made.connection.connected_at = inf  # however late we are
        end(relay)
        try:
            made.ask(b"OPEN\r\n")
        except ConnectionError:
            assert made.request.sent == inf, "a line that was never sent is no request"
        else:
            assert made.request.crossed is rests
        made.connection.close()

    asyncio.run(body())


def test_an_end_after_the_line_crosses_nothing_however_late_it_is_seen() -> None:
    async def body() -> None:
        made = conversation()
        relay = await connected(made)
        made.request.rested = True
        made.ask(b"OPEN\r\n")
        relay.close()  # with the line unread
        time.sleep(HELD_S)
        made.connection.read()
        assert made.connection.ended and not made.request.crossed

    asyncio.run(body())


def test_the_second_part_of_a_line_is_there_at_once_though_the_first_is_not_acknowledged() -> None:
    """Guards against Nagle's algorithm: a relay's end acknowledged the first part, and only then the second left."""

    async def body() -> None:
        made = conversation()
        relay = await connected(made)
        relay.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 0)
        relay.setblocking(False)
        made.connection.send(b"OPEN")
        made.ask(b" 1\r\n")
        assert relay.recv(100) == b"OPEN 1\r\n"
        made.connection.close()
        relay.close()

    asyncio.run(body())


def test_a_line_that_we_are_late_to_send_ourselves_is_one_on_a_rested_connection() -> None:
    async def body() -> None:
        made = conversation()
        relay = await connected(made)
        time.sleep(2.0 * PROMPT_S)
        made.ask(b"OPEN\r\n")
        assert made.request.rested and not made.request.crossed
        made.connection.close()
        relay.close()

    asyncio.run(body())


async def connected_and_seen_late(
    made: Conversation, ended_after_s: float, end: Callable[[socket.socket], None]
) -> None:
    """It comes up; this process is held from then on until long after the relay, so long after that, has ended it."""

    def hold() -> None:
        relay, _ = listening.accept()
        time.sleep(ended_after_s)
        end(relay)
        relays.append(relay)  # open until the test is over
        time.sleep(HELD_S)

    loop, relays = asyncio.get_running_loop(), list[socket.socket]()
    with socket.create_server(("127.0.0.1", 0)) as listening:
        loop.call_soon(loop.call_soon, hold)  # in the turn after the one that makes the system's call
        assert await made.connection.open(listening.getsockname(), 1.0)
    assert relays and not made.connection.ended, "it was held in between"


@pytest.mark.parametrize("end", (shut, socket.socket.close))
def test_a_connection_has_rested_from_its_coming_up_on_however_late_that_is_seen(
    end: Callable[[socket.socket], None],
) -> None:
    """Guards against counting from the moment of noticing: the relay had ended it for its silence long before."""

    async def body() -> None:
        made = conversation()
        called_at = time.monotonic()
        await connected_and_seen_late(made, 2.0 * PROMPT_S, end)
        assert called_at <= made.connection.connected_at <= called_at + HELD_S / 2.0
        made.ask(b"OPEN\r\n")
        assert made.request.rested and made.request.crossed
        made.connection.close()

    asyncio.run(body())


@pytest.mark.parametrize("end", (shut, socket.socket.close))
def test_a_relay_that_ends_a_connection_before_it_has_rested_is_found_however_late_the_line_is(
    end: Callable[[socket.socket], None],
) -> None:
    async def body() -> None:
        made = conversation()
        await connected_and_seen_late(made, 0.0, end)
        made.ask(b"OPEN\r\n")
        assert not made.request.rested and not made.request.crossed
        made.connection.close()

    asyncio.run(body())


def test_a_connection_for_which_the_queue_had_no_room_has_not_rested_before_it_came_up() -> None:
    async def body() -> None:
        made = conversation()
        with socket.create_server(("127.0.0.1", 0), backlog=0) as listening:
            filling = socket.create_connection(listening.getsockname())
            opening = asyncio.ensure_future(made.connection.open(listening.getsockname(), WAIT_S))
            await asyncio.sleep(HELD_S)
            first, _ = listening.accept()
            assert not opening.done() and await opening
            since = time.monotonic()
            relay, _ = listening.accept()
            assert since - made.connection.connected_at < HELD_S
        for sock in (filling, first, relay):
            sock.close()
        made.connection.close()

    asyncio.run(body())


class HeldSocket:
    """A client's socket; this process is held before the system's call that sends, or after it."""

    def __init__(self, sock: socket.socket, before: Callable[[], None], after: Callable[[], None]) -> None:
        self.sock, self.before, self.after = sock, before, after

    def send(self, data: bytes) -> int:
        self.before()
        sent = self.sock.send(data)
        self.after()
        return sent

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


def hold() -> None:
    time.sleep(HELD_S)


def go_on() -> None:
    pass


@pytest.mark.parametrize(("before", "after"), ((hold, go_on), (go_on, hold)))
def test_a_line_has_left_when_the_system_sent_it_whenever_this_process_is_held(
    before: Callable[[], None], after: Callable[[], None]
) -> None:
    """Guards against a line counted as prompt, or as late, by the time at which this process did the next step."""

    async def body() -> None:
        made = conversation()
        relay = await connected(made)
        called_at = time.monotonic()
        made.connection.sock = cast(Any, HeldSocket(made.connection.sock, before, after))
        made.ask(b"OPEN\r\n")
        left_s = made.request.sent - called_at
        assert left_s >= HELD_S - CLOCK_TICK_S if before is hold else 0.0 <= left_s < HELD_S / 2.0
        assert made.request.rested is (before is hold) and not made.request.crossed
        made.connection.close()
        relay.close()

    asyncio.run(body())


def check_age(age_s: Callable[[socket.socket | None], float], sock: socket.socket, since: float) -> None:
    """Of what arrived at this moment of time.monotonic, and again after a while."""
    assert age_s(sock) == 0.0 or time.monotonic() > since + CLOCK_TICK_S
    time.sleep(HELD_S)
    age = age_s(sock)
    assert HELD_S - CLOCK_TICK_S <= age <= time.monotonic() - since + CLOCK_TICK_S


def test_the_ages_of_data_and_end_are_those_of_their_arrival_and_nothing_within_a_tick() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listening:
        near = socket.create_connection(listening.getsockname())
        far, _ = listening.accept()
    since = time.monotonic()
    near.send(b"x")
    check_age(data_age_s, far, since)
    since = time.monotonic()
    near.close()
    check_age(end_age_s, far, since)
    far.close()
    assert data_age_s(far) == data_age_s(None) == 0.0
