"""Who is let in while descriptors are short, against random steps."""

from __future__ import annotations

from typing import Any, cast

from hypothesis import given, settings
from hypothesis import strategies as st

from yarrowspindle.fronts.connection_limiter import MIN_AGE_S, SPARE_DESCRIPTORS, ConnectionLimiter

STEPS = ["come"] * 5 + ["known"] * 2 + ["answer", "lose", "wait"]


class Ended:
    def __init__(self) -> None:
        self.aborted = False

    def abort(self) -> None:
        self.aborted = True


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.tuples(st.sampled_from(STEPS), st.integers(0, 9)), max_size=120))
def test_no_more_are_let_in_than_there_is_room_and_only_old_strangers_go(steps: list[tuple[str, int]]) -> None:
    now, born = [0.0], dict[Any, float]()
    door = ConnectionLimiter(40 + SPARE_DESCRIPTORS, lambda: now[0])
    requests: set[Any] = set()
    backends: dict[Any, Any] = {}
    for step, pick in steps:
        sides = [side for side in born if not side.aborted and side in door.connections]
        side = sides[pick % len(sides)] if sides else None
        if step == "come":
            if door.make_room():
                side = cast(Any, Ended())
                born[side] = now[0]
                door.on_accepted(side)
        elif step == "wait":
            now[0] += pick * MIN_AGE_S / 4.0
        elif side is not None and step == "known":
            if side not in requests and side not in door.answered:
                requests.add(side)
                door.on_request(side)
                door.on_backend_connecting(cast(Any, backend := Ended()))  # its node's side
                backends[side] = backend
        elif side is not None:
            requests.discard(side)
            if (other := backends.pop(side, None)) is not None:
                door.on_closed(cast(Any, other))
            (door.on_answered if step == "answer" else door.on_closed)(side)
        assert len(door.connections) <= 40 and len(door.without_request) + len(door.answered) <= door.max_idle
        assert not any(side.aborted for side in requests), "a job is never ended for want of room"
        assert all(now[0] >= born[side] + MIN_AGE_S for side in born if side.aborted)


def test_strangers_that_all_become_requests_find_a_descriptor_for_their_backends_too() -> None:
    """Strangers counted once, and a crowd that opened its jobs together took what is kept for the watch."""
    door = ConnectionLimiter(40 + SPARE_DESCRIPTORS, lambda: 0.0)
    while door.make_room():
        side = cast(Any, Ended())
        door.on_accepted(side)
        if len(door.without_request) == door.max_idle or len(door.connections) < 30:
            door.on_request(side)
            door.on_backend_connecting(cast(Any, Ended()))
    for side in list(door.without_request):
        door.on_request(side)
        door.on_backend_connecting(cast(Any, Ended()))
    assert 38 <= len(door.connections) <= 40


def test_a_stranger_whose_line_was_not_read_yet_is_not_sent_away() -> None:
    """Guards against counting the time of a hold as a client's: its line lay in the kernel, and it was reset."""
    now, unread = [0.0], set[Any]()
    door = ConnectionLimiter(40 + SPARE_DESCRIPTORS, lambda: now[0], lambda side: side not in unread)
    sides = []
    while door.make_room():
        sides.append(cast(Any, Ended()))
        door.on_accepted(sides[-1])
    unread.update(sides[:3])
    now[0] += 2.0 * MIN_AGE_S
    assert door.make_room()
    assert [side.aborted for side in sides] == [False] * 3 + [True] + [False] * (len(sides) - 4)
    unread.update(sides)
    door.on_accepted(cast(Any, Ended()))
    assert not door.make_room(), "nobody is sent away: the loop reads them first"
