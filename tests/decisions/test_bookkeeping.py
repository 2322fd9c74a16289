"""Own connections and loads after every kind of outcome."""

from __future__ import annotations

import pytest

from tests.helpers import balancer, end, open_one, sends
from yarrowspindle.decisions.events import NEVER_RAN, ExistingConnection, LoadChanged, Outcome, RequestReceived


@pytest.mark.parametrize("outcome", list(Outcome))
def test_every_outcome_takes_the_connection_off_its_backend(outcome: Outcome) -> None:
    b = balancer(max_attempts=1)
    (send,) = sends(b.handle(0.0, RequestReceived(7, left_ms=1000.0, load=3.0)))
    assert (b.backends[send.backend].connections, b.backends[send.backend].load) == (1, 3.0)
    end(b, 5.0, 7, send.backend, outcome, finished=outcome is Outcome.OK)
    assert (b.backends[send.backend].connections, b.backends[send.backend].load) == (0, 0.0)
    assert b.requests == {}
    assert (outcome in NEVER_RAN) == (outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


def test_a_connection_that_exists_at_the_start_counts_at_its_backend() -> None:
    b = balancer()
    b.handle(0.0, ExistingConnection(9, backend=2, load=4.0))
    assert (b.backends[2].connections, b.backends[2].load) == (1, 4.0)
    end(b, 8.0, 9, 2)
    assert b.backends[2].connections == 0


def test_a_changed_load_is_counted_and_removed_again() -> None:
    b = balancer()
    backend = open_one(b, 0.0, 1, load=2.0)
    b.handle(1.0, LoadChanged(1, backend, 5.0))
    assert b.backends[backend].load == 5.0
    end(b, 2.0, 1, backend)
    assert b.backends[backend].load == 0.0
