"""Schedule of discovery polls."""

from __future__ import annotations

from tests.helpers import balancer, settings, timers
from yarrowspindle.decisions.actions import WatchEndpoints
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import (
    Endpoint,
    EndpointList,
    ListKind,
    TimerFired,
)


def test_few_relays_poll_first_in_turn_and_many_within_a_time_limit() -> None:
    """Few relays must not poll faster than the four calls per second that discovery handles."""
    for balancers, least, most in ((1, 100.0, 200.0), (4, 500.0, 800.0), (200, 1200.0, 1500.0)):
        first = []
        for seed in range(50):
            b = Balancer(settings(polls_discovery=True, balancers=balancers), seed, 0.0)
            first.append(timers(b.handle(0.0, EndpointList(ListKind.CACHED, [Endpoint(1)])))[0].delay_ms)
        assert least < max(first) <= most


def test_polls_are_spread_and_repeated_after_a_failure_with_backoff() -> None:
    first = set()
    for seed in range(20):
        b = Balancer(settings(polls_discovery=True, poll_interval_ms=1000.0), seed, 0.0)
        first.add(timers(b.handle(0.0, EndpointList(ListKind.CACHED, [Endpoint(1)])))[0].delay_ms)
    assert len(first) == 20 and max(first) <= 500.0
    b = Balancer(settings(polls_discovery=True, poll_interval_ms=10_000.0), 1, 0.0)
    pending, waits, now = timers(b.handle(0.0, EndpointList(ListKind.CACHED, [Endpoint(1)])))[0], [], 0.0
    for _ in range(12):
        now += pending.delay_ms
        assert b.handle(now, TimerFired(pending.token)) == [WatchEndpoints()]
        (pending,) = timers(b.handle(now, EndpointList(ListKind.FAILED)))
        waits.append(pending.delay_ms)
        assert b.handle(now, EndpointList(ListKind.FAILED)) == []  # only one call at a time
    assert max(waits[:2]) < min(waits[-4:])
    # A list counts as current for 6 s after its publication: the delay and a call that hangs for 2.2 s must fit in.
    for balancers in (1, 6, 40, 200):
        for seed in range(50):
            b = Balancer(settings(polls_discovery=True, balancers=balancers), seed, 0.0)
            pending, now = timers(b.handle(0.0, EndpointList(ListKind.CACHED, [Endpoint(1)])))[0], 0.0
            for _ in range(10):
                assert pending.delay_ms + 2200.0 <= 6000.0
                assert now > 0.0 or pending.delay_ms <= 1500.0  # changes made before the start must arrive sooner
                now += pending.delay_ms
                b.handle(now, TimerFired(pending.token))
                (pending,) = timers(b.handle(now, EndpointList(ListKind.FAILED)))


def test_discovery_that_pushes_its_list_is_never_polled() -> None:
    b = balancer(3)
    assert b.handle(0.0, EndpointList(ListKind.FAILED)) == []
