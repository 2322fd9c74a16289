"""The soak's client connections: recorded times and the side that closed first do not depend on process delays."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Iterator
from math import inf
from typing import Any, cast

import pytest

from benchmarks.soak.clients import IDLE_AFTER_S, Exchange
from benchmarks.soak.connection import RESET_ON_CLOSE
from benchmarks.soak.kernel_timestamps import (
    CLOCK_TICK_S,
    close_age_s,
    data_age_s,
    enable_receive_timestamps,
    read_byte_with_age,
)
from benchmarks.soak.oracle import Request

BLOCKED_S, WAIT_S = 0.2, 10.0
CLOCK_TOLERANCE_S = BLOCKED_S / 2.0  # the two clocks may be read this far apart on a busy machine


def new_exchange() -> Exchange:
    request = Request("a", "r0.1", "charge", "side_effect", "cell", 0.4, 1.0)
    return Exchange(time.monotonic, request)


async def connect(exchange: Exchange) -> socket.socket:
    """Connect the exchange, and return the relay's socket of the connection."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        assert await exchange.connection.open(listening.getsockname(), 1.0)
        relay, _ = listening.accept()
    return relay


def half_close(relay: socket.socket) -> None:
    relay.shutdown(socket.SHUT_WR)


def reset(relay: socket.socket) -> None:
    relay.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    relay.close()


@pytest.fixture
def receive_timestamps_enabled() -> Iterator[None]:
    """Receive timestamps of the kernel are in force: it starts them shortly after the first socket enables them."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        near = socket.create_connection(listening.getsockname())
        far, _ = listening.accept()
    enable_receive_timestamps(far)
    for _ in range(100):
        near.send(b"x")
        time.sleep(0.02)
        if read_byte_with_age(far)[1] > 0.01:
            break
    yield
    near.close()
    far.close()


@pytest.mark.usefixtures("receive_timestamps_enabled")
def test_an_answer_read_late_has_the_time_of_its_arrival() -> None:
    async def body() -> None:
        exchange = new_exchange()
        relay = await connect(exchange)
        exchange.send(b"OPEN\r\n")
        earliest = time.monotonic()
        relay.send(b"BUSY\r\n")
        latest = time.monotonic()
        time.sleep(BLOCKED_S)
        exchange.connection.read()
        ((at, word),) = exchange.request.answers
        assert word == "BUSY" and earliest - CLOCK_TOLERANCE_S <= at <= latest + CLOCK_TOLERANCE_S
        exchange.connection.close()
        relay.close()

    asyncio.run(body())


@pytest.mark.parametrize("end", (half_close, reset, socket.socket.close))
@pytest.mark.parametrize("is_idle", (True, False))
def test_a_request_races_a_close_only_if_it_had_arrived_and_the_connection_was_idle(
    is_idle: bool, end: Callable[[socket.socket], None]
) -> None:
    async def body() -> None:
        exchange = new_exchange()
        relay = await connect(exchange)
        if is_idle:
            await asyncio.sleep(2.0 * IDLE_AFTER_S)
        else:
            exchange.connection.connected_at = inf  # not idle, also if this process is late
        end(relay)
        try:
            exchange.send(b"OPEN\r\n")
        except ConnectionError:
            assert exchange.request.sent_at == inf, "a line that was never sent is no request"
        else:
            assert exchange.request.raced_close is is_idle
        exchange.connection.close()

    asyncio.run(body())


def test_a_close_after_the_request_is_no_race_even_if_it_is_noticed_late() -> None:
    async def body() -> None:
        exchange = new_exchange()
        relay = await connect(exchange)
        exchange.request.was_idle = True
        exchange.send(b"OPEN\r\n")
        relay.close()  # the line is unread
        time.sleep(BLOCKED_S)
        exchange.connection.read()
        assert exchange.connection.peer_closed and not exchange.request.raced_close

    asyncio.run(body())


def test_the_second_part_of_a_line_is_sent_before_the_first_is_acknowledged() -> None:
    """Guard against Nagle's algorithm: the second part was sent only after the relay had acknowledged the first."""

    async def body() -> None:
        exchange = new_exchange()
        relay = await connect(exchange)
        relay.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 0)
        relay.setblocking(False)
        exchange.connection.send(b"OPEN")
        exchange.send(b" 1\r\n")
        assert relay.recv(100) == b"OPEN 1\r\n"
        exchange.connection.close()
        relay.close()

    asyncio.run(body())


def test_a_request_sent_late_by_this_process_is_one_on_an_idle_connection() -> None:
    async def body() -> None:
        exchange = new_exchange()
        relay = await connect(exchange)
        time.sleep(2.0 * IDLE_AFTER_S)
        exchange.send(b"OPEN\r\n")
        assert exchange.request.was_idle and not exchange.request.raced_close
        exchange.connection.close()
        relay.close()

    asyncio.run(body())


async def connect_while_blocked(exchange: Exchange, ended_after_s: float, end: Callable[[socket.socket], None]) -> None:
    """Connect while this process is blocked from the establishment until BLOCKED_S after the relay has closed.

    Args:
        exchange: the exchange to connect.
        ended_after_s: seconds from the establishment until the relay closes the connection.
        end: closes the relay's socket.
    """

    def block() -> None:
        relay, _ = listening.accept()
        time.sleep(ended_after_s)
        end(relay)
        relays.append(relay)  # stays referenced, and so open, until the test ends
        time.sleep(BLOCKED_S)

    loop, relays = asyncio.get_running_loop(), list[socket.socket]()
    with socket.create_server(("127.0.0.1", 0)) as listening:
        loop.call_soon(loop.call_soon, block)  # in the loop iteration after the one that calls connect
        assert await exchange.connection.open(listening.getsockname(), 1.0)
    assert relays and not exchange.connection.peer_closed, "the process was blocked after the establishment"


@pytest.mark.parametrize("end", (half_close, socket.socket.close))
def test_idle_time_counts_from_the_establishment_even_if_it_is_noticed_late(
    end: Callable[[socket.socket], None],
) -> None:
    """Guard against counting from when the establishment is noticed: by then the relay has closed the connection."""

    async def body() -> None:
        exchange = new_exchange()
        called_at = time.monotonic()
        await connect_while_blocked(exchange, 2.0 * IDLE_AFTER_S, end)
        assert called_at <= exchange.connection.connected_at <= called_at + BLOCKED_S / 2.0
        exchange.send(b"OPEN\r\n")
        assert exchange.request.was_idle and exchange.request.raced_close
        exchange.connection.close()

    asyncio.run(body())


@pytest.mark.parametrize("end", (half_close, socket.socket.close))
def test_a_close_before_the_connection_was_idle_is_no_race_even_if_the_request_is_sent_late(
    end: Callable[[socket.socket], None],
) -> None:
    async def body() -> None:
        exchange = new_exchange()
        await connect_while_blocked(exchange, 0.0, end)
        exchange.send(b"OPEN\r\n")
        assert not exchange.request.was_idle and not exchange.request.raced_close
        exchange.connection.close()

    asyncio.run(body())


def test_waiting_for_a_place_in_the_accept_queue_does_not_count_as_idle_time() -> None:
    async def body() -> None:
        exchange = new_exchange()
        with socket.create_server(("127.0.0.1", 0), backlog=0) as listening:
            filling = socket.create_connection(listening.getsockname())
            opening = asyncio.ensure_future(exchange.connection.open(listening.getsockname(), WAIT_S))
            await asyncio.sleep(BLOCKED_S)
            first, _ = listening.accept()
            assert not opening.done() and await opening
            since = time.monotonic()
            relay, _ = listening.accept()
            assert since - exchange.connection.connected_at < BLOCKED_S
        for sock in (filling, first, relay):
            sock.close()
        exchange.connection.close()

    asyncio.run(body())


class BlockingSocket:
    """A client's socket that calls a function before and after the system call that sends."""

    def __init__(self, sock: socket.socket, before: Callable[[], None], after: Callable[[], None]) -> None:
        self.sock, self.before, self.after = sock, before, after

    def send(self, data: bytes) -> int:
        self.before()
        sent = self.sock.send(data)
        self.after()
        return sent

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


def block() -> None:
    time.sleep(BLOCKED_S)


def do_nothing() -> None:
    pass


@pytest.mark.parametrize(("before", "after"), ((block, do_nothing), (do_nothing, block)))
def test_a_request_has_the_time_of_its_system_call_even_if_this_process_is_blocked(
    before: Callable[[], None], after: Callable[[], None]
) -> None:
    """Guard against judging whether a line was sent promptly by the time of this process's next step."""

    async def body() -> None:
        exchange = new_exchange()
        relay = await connect(exchange)
        called_at = time.monotonic()
        exchange.connection.sock = cast(Any, BlockingSocket(exchange.connection.sock, before, after))
        exchange.send(b"OPEN\r\n")
        sent_after_s = exchange.request.sent_at - called_at
        assert sent_after_s >= BLOCKED_S - CLOCK_TICK_S if before is block else 0.0 <= sent_after_s < BLOCKED_S / 2.0
        assert exchange.request.was_idle is (before is block) and not exchange.request.raced_close
        exchange.connection.close()
        relay.close()

    asyncio.run(body())


def check_age(age_s: Callable[[socket.socket | None], float], sock: socket.socket, since: float) -> None:
    """Check the age of data or a close that arrived at `since` (time.monotonic), now and after BLOCKED_S."""
    assert age_s(sock) == 0.0 or time.monotonic() > since + CLOCK_TICK_S
    time.sleep(BLOCKED_S)
    age = age_s(sock)
    assert BLOCKED_S - CLOCK_TICK_S <= age <= time.monotonic() - since + CLOCK_TICK_S


def test_ages_of_data_and_close_count_from_their_arrival_and_are_0_within_a_clock_tick() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listening:
        near = socket.create_connection(listening.getsockname())
        far, _ = listening.accept()
    since = time.monotonic()
    near.send(b"x")
    check_age(data_age_s, far, since)
    since = time.monotonic()
    near.close()
    check_age(close_age_s, far, since)
    far.close()
    assert data_age_s(far) == data_age_s(None) == 0.0
