"""The connection limiter: which connections are accepted when descriptors are short, with random actions."""

from __future__ import annotations

from typing import Any, cast

from hypothesis import given, settings
from hypothesis import strategies as st

from yarrowspindle.fronts.connection_limiter import MIN_AGE_S, RESERVED_DESCRIPTORS, ConnectionLimiter

ACTIONS = ["accept"] * 5 + ["request"] * 2 + ["answer", "lose", "wait"]


class StubConnection:
    def __init__(self) -> None:
        self.aborted = False

    def abort(self) -> None:
        self.aborted = True


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.tuples(st.sampled_from(ACTIONS), st.integers(0, 9)), max_size=120))
def test_accepts_stay_within_the_limit_and_only_old_idle_clients_are_closed(steps: list[tuple[str, int]]) -> None:
    now, accepted_at = [0.0], dict[Any, float]()
    limiter = ConnectionLimiter(40 + RESERVED_DESCRIPTORS, lambda: now[0])
    requests: set[Any] = set()
    backends: dict[Any, Any] = {}
    for action, pick in steps:
        sides = [side for side in accepted_at if not side.aborted and side in limiter.connections]
        side = sides[pick % len(sides)] if sides else None
        if action == "accept":
            if limiter.make_room():
                side = cast(Any, StubConnection())
                accepted_at[side] = now[0]
                limiter.on_accepted(side)
        elif action == "wait":
            now[0] += pick * MIN_AGE_S / 4.0
        elif side is not None and action == "request":
            if side not in requests and side not in limiter.answered:
                requests.add(side)
                limiter.on_request(side)
                limiter.on_backend_connecting(cast(Any, backend := StubConnection()))
                backends[side] = backend
        elif side is not None:
            requests.discard(side)
            if (backend_side := backends.pop(side, None)) is not None:
                limiter.on_closed(cast(Any, backend_side))
            (limiter.on_answered if action == "answer" else limiter.on_closed)(side)
        assert len(limiter.connections) <= 40
        assert len(limiter.without_request) + len(limiter.answered) <= limiter.max_idle
        assert not any(side.aborted for side in requests), "a connection with a request is never closed to make room"
        assert all(now[0] >= accepted_at[side] + MIN_AGE_S for side in accepted_at if side.aborted)


def test_idle_clients_that_all_send_requests_get_a_descriptor_for_their_backends() -> None:
    """Guard against counting idle clients once: their simultaneous requests used the descriptors of the watch."""
    limiter = ConnectionLimiter(40 + RESERVED_DESCRIPTORS, lambda: 0.0)
    while limiter.make_room():
        side = cast(Any, StubConnection())
        limiter.on_accepted(side)
        if len(limiter.without_request) == limiter.max_idle or len(limiter.connections) < 30:
            limiter.on_request(side)
            limiter.on_backend_connecting(cast(Any, StubConnection()))
    for side in list(limiter.without_request):
        limiter.on_request(side)
        limiter.on_backend_connecting(cast(Any, StubConnection()))
    assert 38 <= len(limiter.connections) <= 40


def test_an_idle_client_with_unread_data_is_not_closed() -> None:
    """Guard against counting a stall of the relay as idle time: clients with an unread line were reset."""
    now, unread = [0.0], set[Any]()
    limiter = ConnectionLimiter(40 + RESERVED_DESCRIPTORS, lambda: now[0], lambda side: side not in unread)
    sides = []
    while limiter.make_room():
        sides.append(cast(Any, StubConnection()))
        limiter.on_accepted(sides[-1])
    unread.update(sides[:3])
    now[0] += 2.0 * MIN_AGE_S
    assert limiter.make_room()
    assert [side.aborted for side in sides] == [False] * 3 + [True] + [False] * (len(sides) - 4)
    unread.update(sides)
    limiter.on_accepted(cast(Any, StubConnection()))
    assert not limiter.make_room(), "no client is closed before the event loop has read its data"


def test_an_answered_client_that_still_sends_is_closed_once_it_has_its_answer() -> None:
    """Guard against an accept queue that waits for seconds because each answered client has unread data."""
    now, delivered = [0.0], set[Any]()
    limiter = ConnectionLimiter(
        40 + RESERVED_DESCRIPTORS, lambda: now[0], lambda side: False, lambda side: side in delivered
    )
    sides = []
    while limiter.make_room():
        sides.append(cast(Any, StubConnection()))
        limiter.on_accepted(sides[-1])
        limiter.on_answered(sides[-1])
    delivered.update(sides[1:])
    assert not limiter.make_room(), "an answer gets some time to be read"
    now[0] += 2.0 * MIN_AGE_S
    assert limiter.make_room()
    assert [side.aborted for side in sides] == [False, True] + [False] * (len(sides) - 2)


def test_a_silent_client_without_a_request_stays_while_one_that_was_answered_can_be_closed() -> None:
    """Guard against idle clients that are closed in place of those that flood the relay."""
    now = [0.0]
    limiter = ConnectionLimiter(
        40 + RESERVED_DESCRIPTORS, lambda: now[0], lambda side: side is idle, lambda side: side is not idle
    )
    idle = cast(Any, StubConnection())
    limiter.on_accepted(idle)
    while limiter.make_room():
        side = cast(Any, StubConnection())
        limiter.on_accepted(side)
        limiter.on_answered(side)
    now[0] += 2.0 * MIN_AGE_S
    answered = len(limiter.answered)
    assert limiter.make_room() and not idle.aborted and len(limiter.answered) == answered - 1
