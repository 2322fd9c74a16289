"""Who is let in while descriptors are short, against random steps."""

from __future__ import annotations

from typing import Any, cast

from hypothesis import given, settings
from hypothesis import strategies as st

from yarrowspindle.fronts.connection_limiter import SPARE, YOUNG_S, Door

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
    door = Door(40 + SPARE, lambda: now[0])
    requests: set[Any] = set()
    backends: dict[Any, Any] = {}
    for step, pick in steps:
        sides = [side for side in born if not side.aborted and side in door.held]
        side = sides[pick % len(sides)] if sides else None
        if step == "come":
            if door.room():
                side = cast(Any, Ended())
                born[side] = now[0]
                door.came(side)
        elif step == "wait":
            now[0] += pick * YOUNG_S / 4.0
        elif side is not None and step == "known":
            if side not in requests and side not in door.leaving:
                requests.add(side)
                door.known(side)
                door.reached_for(cast(Any, backend := Ended()))  # its node's side
                backends[side] = backend
        elif side is not None:
            requests.discard(side)
            if (other := backends.pop(side, None)) is not None:
                door.lost(cast(Any, other))
            (door.answered if step == "answer" else door.lost)(side)
        assert len(door.held) <= 40 and len(door.strangers) + len(door.leaving) <= door.strangers_most
        assert not any(side.aborted for side in requests), "a job is never ended for want of room"
        assert all(now[0] >= born[side] + YOUNG_S for side in born if side.aborted)


def test_strangers_that_all_become_requests_find_a_descriptor_for_their_backends_too() -> None:
    """Strangers counted once, and a crowd that opened its jobs together took what is kept for the watch."""
    door = Door(40 + SPARE, lambda: 0.0)
    while door.room():
        side = cast(Any, Ended())
        door.came(side)
        if len(door.strangers) == door.strangers_most or len(door.held) < 30:
            door.known(side)
            door.reached_for(cast(Any, Ended()))
    for side in list(door.strangers):
        door.known(side)
        door.reached_for(cast(Any, Ended()))
    assert 38 <= len(door.held) <= 40
