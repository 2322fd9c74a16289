"""Own counts after every kind of outcome."""

from __future__ import annotations

import pytest

from tests.helpers import balancer, end, open_one, sends
from yarrowspindle.decisions.events import NEVER_RAN, Adopted, LoadChanged, Outcome, Request


@pytest.mark.parametrize("outcome", list(Outcome))
def test_every_outcome_lets_go_of_the_server(outcome: Outcome) -> None:
    b = balancer(max_attempts=1)
    (send,) = sends(b.handle(0.0, Request(7, left_ms=1000.0, load=3.0)))
    assert (b.servers[send.server].open, b.servers[send.server].load) == (1, 3.0)
    end(b, 5.0, 7, send.server, outcome, finished=outcome is Outcome.OK)
    assert (b.servers[send.server].open, b.servers[send.server].load) == (0, 0.0)
    assert b.jobs == {}
    assert (outcome in NEVER_RAN) == (outcome in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT))


def test_a_connection_open_at_start_counts_where_it_is_told() -> None:
    b = balancer()
    b.handle(0.0, Adopted(9, server=2, load=4.0))
    assert (b.servers[2].open, b.servers[2].load) == (1, 4.0)
    end(b, 8.0, 9, 2)
    assert b.servers[2].open == 0


def test_a_changed_load_is_counted_and_taken_off_again() -> None:
    b = balancer()
    server = open_one(b, 0.0, 1, load=2.0)
    b.handle(1.0, LoadChanged(1, server, 5.0))
    assert b.servers[server].load == 5.0
    end(b, 2.0, 1, server)
    assert b.servers[server].load == 0.0
