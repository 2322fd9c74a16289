"""The two sides of a connection, on transports that only keep books."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from yarrowspindle.routing.termination import Ending
from yarrowspindle.transport.backend import NodeSide
from yarrowspindle.transport.client import Submitter


class Wire:
    """A transport; as uvloop's it takes nothing more once it closes."""

    def __init__(self) -> None:
        self.sent, self.reading, self.closed, self.eof = b"", True, False, False

    def __getattr__(self, name: str) -> Callable[..., None]:
        raise AssertionError(f"not expected: {name}")

    def get_extra_info(self, name: str) -> None:
        return None

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.closed

    def can_write_eof(self) -> bool:
        return True

    def abort(self) -> None:
        self.closed = True

    def write(self, data: bytes) -> None:
        assert not self.closed
        self.sent += data

    def write_eof(self) -> None:
        assert not self.closed
        self.eof = True

    def pause_reading(self) -> None:
        assert not self.closed
        self.reading = False

    def resume_reading(self) -> None:
        assert not self.closed
        self.reading = True


class Sink:
    """Both sinks at once: keeps what it is told."""

    def __init__(self) -> None:
        self.told: list[tuple[Any, ...]] = []

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *what: self.told.append((name, *what))

    def job_came(self, side: Submitter, opened: object) -> None:
        side.job = 7


def pair() -> tuple[Sink, Submitter, Wire, NodeSide, Wire]:
    sink, near, far = Sink(), Wire(), Wire()
    submitter, node = Submitter(cast(Any, sink)), NodeSide(cast(Any, sink), 7, 0)
    submitter.connection_made(cast(asyncio.BaseTransport, near))
    node.connection_made(cast(asyncio.BaseTransport, far))
    submitter.data_received(b"OPEN 000000000000000a 00000000000000ff c=x,d=5\r\n")
    node.ask(b"OPEN\r\n")
    return sink, submitter, near, node, far


def joined() -> tuple[Sink, Submitter, Wire, NodeSide, Wire]:
    made = pair()
    made[3].data_received(b"UP r\r\n")
    made[1].join(made[3], made[3].first)
    made[3].flow()
    return made


def run(body: Callable[[], None]) -> None:
    async def inside() -> None:
        body()

    asyncio.run(inside())


def test_a_part_of_a_line_is_passed_on_at_once_and_a_move_waits_for_its_end() -> None:
    def body() -> None:
        _, submitter, near, node, far = joined()
        node.data_received(b"hel")
        assert near.sent == b"UP r\r\nhel"
        node.move(submitter)
        assert not near.eof
        node.data_received(b"lo\r\nnext\r\n")
        assert near.sent == b"UP r\r\nhello\r\nMOVE\r\n" and near.eof and far.eof

    run(body)


def test_what_comes_with_the_first_lines_is_kept_and_goes_on_in_order() -> None:
    def body() -> None:
        sink, submitter, near, node, far = pair()
        node.data_received(b"UP r\r\nLOAD 5\r\nx")
        submitter.join(node, node.first)
        node.flow()
        assert near.sent == b"UP r\r\nLOAD 5\r\nx" and far.sent == b"OPEN\r\n"
        assert ("node_load", 7, 5.0) in sink.told

    run(body)


def test_a_side_that_takes_nothing_holds_the_other_back() -> None:
    def body() -> None:
        _, submitter, near, node, far = joined()
        submitter.pause_writing()
        assert not far.reading
        submitter.resume_writing()
        node.pause_writing()
        assert far.reading and not near.reading
        near.abort()
        node.resume_writing()  # nothing to resume any more: it must not raise
        node.data_received(b"late\r\n")

    run(body)


def test_what_comes_before_the_connection_stands_is_told_and_not_kept() -> None:
    def body() -> None:
        sink, submitter, _, node, far = pair()
        submitter.data_received(b"x" * 100_000)
        assert sink.told[-1] == ("job_out_of_turn", 7)
        node.data_received(b"UP r\r\n")
        submitter.join(node, node.first)
        assert far.sent == b"OPEN\r\n"

    run(body)


def test_a_flood_of_lines_is_told_as_one_count_for_each_piece() -> None:
    def body() -> None:
        sink, submitter, _, node, _ = joined()
        submitter.data_received(b"x\r\n" * 5000)
        node.data_received(b"y\r\n" * 5000)
        assert sink.told[-2:] == [("job_asked", 7, 5000), ("node_answered", 7, 5000)]

    run(body)


def test_a_refused_submitter_is_heard_out_while_it_sends_and_no_longer() -> None:
    async def inside() -> None:
        wire = Wire()
        submitter = Submitter(cast(Any, Sink()))
        submitter.connection_made(cast(asyncio.BaseTransport, wire))
        submitter.data_received(b"x" * 5000)
        assert wire.sent == b"ERR\r\n" and wire.eof and not wire.closed
        until = asyncio.get_running_loop().time() + 60.0
        submitter.data_received(b"x" * 5000)
        submitter._linger(0, until)
        assert not wire.closed, "it still sends: a reset could take its answer"
        submitter._linger(submitter.thrown, until)
        assert wire.closed

    asyncio.run(inside())


def test_what_a_connection_ends_with_says_how_it_ended() -> None:
    def body() -> None:
        for last, ending in ((b"BYE\r\n", Ending.SERVED), (b"MOVE\r\n", Ending.SENT_AWAY), (b"", Ending.BROKEN)):
            sink, _, _, node, _ = joined()
            node.data_received(b"hello\r\n" + last)
            node.eof_received()
            node.connection_lost(None)
            assert [t[2] for t in sink.told if t[0] == "node_over"] == [ending]
        sink, _, _, node, _ = pair()
        node.asked = False
        node.connection_lost(None)
        assert sink.told[-1] == ("node_over", node, Ending.UNREACHED)

    run(body)


def test_a_connection_that_comes_up_after_it_was_given_up_is_closed() -> None:
    def body() -> None:
        sink, wire = Sink(), Wire()
        node = NodeSide(cast(Any, sink), 7, 0)
        node.drop()
        node.connection_made(cast(asyncio.BaseTransport, wire))
        assert wire.closed and not sink.told

    run(body)
