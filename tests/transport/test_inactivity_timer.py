"""Inactivity time-outs if the event loop was stalled while the peer sent data, on real sockets and both loops."""

from __future__ import annotations

import asyncio
import select
import socket
import time
from collections.abc import Callable, Coroutine
from typing import Any, cast

import pytest
import uvloop

from yarrowspindle.transport.inactivity_timer import (
    STALL_EXTENSION_S,
    InactivityTimer,
    half_close_unless_readable,
    sleep_then_wait_for_reads,
    wait_for_socket_reads,
)

TIMEOUT_S = 0.03
CLOCK_TICK_S = 0.002  # uvloop's clock has whole milliseconds and is read at the start of an iteration
LOOPS: list[Callable[[], asyncio.AbstractEventLoop]] = [asyncio.new_event_loop, uvloop.new_event_loop]


class Receiver(asyncio.Protocol):
    """A receiver that cancels its time-out when data arrives."""

    def __init__(self) -> None:
        self.received = b""
        self.timed_out_after: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.started_at = time.monotonic()
        self.timer = InactivityTimer(TIMEOUT_S, self.on_timeout)

    def data_received(self, data: bytes) -> None:
        self.received += data
        self.timer.cancel()

    def on_timeout(self) -> None:
        self.timed_out_after = time.monotonic() - self.started_at


def run(loop: Callable[[], asyncio.AbstractEventLoop], body: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(body)


async def connected() -> tuple[Receiver, socket.socket]:
    own_end, peer = socket.socketpair()
    _, receiver = await asyncio.get_running_loop().create_connection(Receiver, sock=own_end)
    return receiver, peer


@pytest.mark.parametrize("loop", LOOPS)
def test_data_received_during_a_stall_is_not_inactivity(loop: Callable[[], asyncio.AbstractEventLoop]) -> None:
    """Guard against a time-out that takes effect before the loop has polled, with unread data in the kernel."""

    async def body() -> None:
        receiver, peer = await connected()
        time.sleep(2.0 * TIMEOUT_S)
        peer.send(b"x")
        await asyncio.sleep(2.0 * TIMEOUT_S + STALL_EXTENSION_S)
        assert receiver.received == b"x" and receiver.timed_out_after is None
        peer.close()

    run(loop, body())


@pytest.mark.parametrize("loop", LOOPS)
def test_inactivity_is_detected_in_time(loop: Callable[[], asyncio.AbstractEventLoop]) -> None:
    async def body() -> None:
        receiver, peer = await connected()
        await asyncio.sleep(2.0 * TIMEOUT_S)
        assert receiver.timed_out_after is not None and receiver.timed_out_after >= TIMEOUT_S - CLOCK_TICK_S
        peer.close()

    run(loop, body())


@pytest.mark.parametrize("loop", LOOPS)
def test_after_a_stall_the_time_out_is_extended_once(loop: Callable[[], asyncio.AbstractEventLoop]) -> None:
    async def body() -> None:
        receiver, peer = await connected()
        stall_s = TIMEOUT_S + 1.5 * STALL_EXTENSION_S
        time.sleep(stall_s)
        await asyncio.sleep(0.5 * STALL_EXTENSION_S)
        assert receiver.timed_out_after is None
        await asyncio.sleep(STALL_EXTENSION_S)
        assert (
            receiver.timed_out_after is not None
            and receiver.timed_out_after >= stall_s + STALL_EXTENSION_S - CLOCK_TICK_S
        )
        peer.close()

    run(loop, body())


@pytest.mark.parametrize("loop", LOOPS)
def test_unread_data_and_end_of_stream_are_detected_before_the_loop_reads_them(
    loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    async def body() -> None:
        idle, idle_peer = await connected()
        assert half_close_unless_readable(idle.transport), "there is no unread data"
        receiver, peer = await connected()
        peer.send(b"x")
        assert not half_close_unless_readable(receiver.transport)
        await wait_for_socket_reads()
        assert receiver.received == b"x"
        peer.send(b"y")
        time.sleep(0.01)
        await sleep_then_wait_for_reads(0.001)
        assert receiver.received == b"xy"
        peer.close()
        assert not half_close_unless_readable(receiver.transport), "the end of the stream is unread"
        await wait_for_socket_reads()
        await asyncio.sleep(0.01)
        assert half_close_unless_readable(receiver.transport) and half_close_unless_readable(None), (
            "the transport is closed"
        )
        read, read_peer = await connected()
        read_peer.send(b"x")
        await wait_for_socket_reads()
        assert read.received == b"x" and half_close_unless_readable(read.transport), "all data has been read"
        idle_peer.close()
        read_peer.close()

    run(loop, body())


@pytest.mark.parametrize("loop", LOOPS)
def test_the_sending_direction_is_closed_at_once_or_not_at_all(loop: Callable[[], asyncio.AbstractEventLoop]) -> None:
    """Guard against closing one iteration after the check for unread data, which loses data that arrived meanwhile."""

    async def body() -> None:
        receiver, peer = await connected()
        peer.settimeout(1.0)
        peer.send(b"x")
        assert not half_close_unless_readable(receiver.transport)
        await wait_for_socket_reads()
        assert half_close_unless_readable(receiver.transport)
        assert peer.recv(1) == b"", "the end of the stream is sent before the next iteration"
        peer.close()
        assert half_close_unless_readable(None)

    run(loop, body())


@pytest.mark.parametrize("loop", LOOPS)
def test_data_that_arrives_during_a_stalled_poll_is_read(
    loop: Callable[[], asyncio.AbstractEventLoop], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against closing a connection whose data arrived in a stall between the poll and the close."""

    async def body() -> None:
        receiver, peer = await connected()
        poll_results: list[bool] = []

        class StalledPoll:
            """A poll whose first call finds nothing and returns 10 ms late."""

            def __init__(self) -> None:
                self.poll_object = poll()

            def register(self, sock: socket.socket, events: int) -> None:
                self.poll_object.register(sock, events)

            def poll(self, timeout_ms: int) -> list[tuple[int, int]]:
                events = self.poll_object.poll(timeout_ms)
                poll_results.append(bool(events))
                if len(poll_results) == 1:
                    peer.send(b"x")
                    time.sleep(0.01)
                return events

        poll = select.poll
        monkeypatch.setattr(select, "poll", StalledPoll)
        assert not half_close_unless_readable(receiver.transport) and poll_results == [False, True]
        monkeypatch.undo()
        await wait_for_socket_reads()
        assert receiver.received == b"x"
        peer.close()

    run(loop, body())


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("timeout_s", (0.0, 0.0004))
def test_a_time_out_of_zero_calls_back(loop: Callable[[], asyncio.AbstractEventLoop], timeout_s: float) -> None:
    """Guard against a timer that never calls back: uvloop has no timers below half a millisecond."""

    async def body() -> None:
        receiver = Receiver()
        receiver.connection_made(cast(asyncio.BaseTransport, None))
        receiver.timer.cancel()
        receiver.timer = InactivityTimer(timeout_s, receiver.on_timeout)
        await asyncio.sleep(0.02)
        assert receiver.timed_out_after is not None

    run(loop, body())


def test_a_cancelled_timer_never_calls_back() -> None:
    async def body() -> None:
        for iterations in range(6):
            receiver = Receiver()
            receiver.connection_made(cast(asyncio.BaseTransport, None))
            receiver.timer.cancel()
            receiver.timer = InactivityTimer(0.0, receiver.on_timeout)
            for _ in range(iterations):
                if receiver.timed_out_after is None:
                    await asyncio.sleep(0.0)
            timed_out_after = receiver.timed_out_after
            receiver.timer.cancel()
            await asyncio.sleep(0.01)
            assert receiver.timed_out_after == timed_out_after

    asyncio.run(body())
