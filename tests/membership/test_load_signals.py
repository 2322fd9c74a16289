"""Load signals between two relays under loss, duplication and reordering, and the ageing of a peer's load."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yarrowspindle.decisions.events import PeerLoads
from yarrowspindle.decisions.peer_loads import PeerLoadTable
from yarrowspindle.membership.events import LocalLoad
from yarrowspindle.membership.load_signals import LoadSignals
from yarrowspindle.membership.local_load_log import MAX_UINT32, LocalLoadLog
from yarrowspindle.membership.messages import LoadSignal


class LossyChannel:
    """A sender and a receiver of load signals; a random generator drops, duplicates and reorders the signals."""

    def __init__(self) -> None:
        self.sender = LocalLoadLog()
        self.receiver = LoadSignals()
        self.now = 0
        self.loads = dict[int, tuple[int, float]]()
        self.waiting: list[tuple[int, LoadSignal]] = []
        self.receiver.peer_view("b", 1).observe_clock(0.0, 0.0)

    def send_signal(self, rng: random.Random, loss: float) -> None:
        self.now += 1
        self.waiting.append(
            (self.now, self.sender.next_signal(LocalLoad(dict(self.loads)), float(self.now), rng.choice((1, 3))))
        )
        if rng.random() < 0.2 and len(self.waiting) < 3:
            return  # the next signal overtakes it
        full_load_requested = False
        for sent_at, signal in reversed(self.waiting):
            for _ in range(2 if rng.random() < 0.2 else 1):
                if rng.random() >= loss:
                    full_load_requested |= self.receiver.receive("b", 1, sent_at, signal, float(self.now))
        self.waiting.clear()
        if full_load_requested and rng.random() >= loss:
            for signal in self.sender.full_signals():
                self.now += 1
                self.receiver.receive("b", 1, self.now, signal, float(self.now))
        self.now += 250


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, 1 << 30), st.sampled_from([0.0, 0.2, 0.5]), st.integers(1, 300))
def test_totals_converge_after_signals_are_lost(seed: int, loss: float, keys: int) -> None:
    rng, channel = random.Random(seed), LossyChannel()
    for _ in range(60):
        for _ in range(rng.randrange(1 + keys // 4)):
            key = rng.randrange(1, keys + 1) * 7919 % MAX_UINT32
            channel.loads[key] = (rng.randrange(1, 60), float(rng.randrange(1000)))
            if rng.random() < 0.3:
                del channel.loads[key]
        channel.send_signal(rng, loss)
    for _ in range(120):  # each fourth signal carries a range of all loads
        channel.send_signal(rng, 0.0)
    peer_loads = channel.receiver.take_peer_loads(float(channel.now), 2, 0)
    received = channel.receiver.peers["b"].loads
    assert {k: n for k, (n, _) in received.items()} == {k: n for k, (n, _) in channel.loads.items()}
    assert all(abs(received[k][1] - load) <= 0.06 * max(load, 1.0) + 1.0 for k, (_, load) in channel.loads.items())
    assert peer_loads.reporting_relays == 1 and {k: v[0] for k, v in peer_loads.loads.items() if v[0]} == {
        k: n for k, (n, _) in channel.loads.items()
    }


def test_the_load_of_a_removed_peer_is_removed_and_a_new_incarnation_starts_without_it() -> None:
    signals = LoadSignals()
    signals.peer_view("b", 1).observe_clock(0.0, 0.0)
    signals.receive("b", 1, 10, LoadSignal(0, 1, [5, 2, 100]), 10.0)
    assert signals.take_peer_loads(20.0, 2, 0).loads == {5: (2, 100.0)}
    signals.remove("b")
    assert signals.take_peer_loads(30.0, 1, 0).loads == {5: (0, 0.0)} and not signals.totals
    signals.peer_view("b", 2).observe_clock(0.0, 0.0)
    assert signals.take_peer_loads(40.0, 2, 0).loads == {}


def test_the_age_of_a_signal_includes_its_delay_and_old_load_loses_its_weight() -> None:
    signals = LoadSignals()
    peer = signals.peer_view("b", 1)
    peer.observe_clock(1000.0, 0.0)  # the peer's clock showed 1,000 ms when this relay's showed 0 or more
    signals.receive("b", 1, 1000, LoadSignal(0, 1, [5, 2, 100]), 5000.0)  # delayed by 5 s
    peer_loads = signals.take_peer_loads(5000.0, 2, 0)
    assert peer.age_ms(5000.0) == 5000.0 and peer_loads.reporting_relays == 0 and peer_loads.loads == {}
    table = PeerLoadTable(4)
    assert (table.load_weight(0.0), table.similar_balancers(0.0)) == (0.0, 4.0)
    table.on_peer_loads(PeerLoads({5: (2, 100.0)}, reporting_relays=3, relays=4, age_ms=100.0), 0.0)
    assert (table.load_weight(0.0), table.similar_balancers(0.0)) == (1.0, 1.0)
    assert (table.load_weight(9000.0), table.similar_balancers(9000.0)) == (0.0, 4.0)
    weight, balancers = table.load_weight(3400.0), table.similar_balancers(3400.0)
    assert 0.0 < weight < 0.5 and balancers == pytest.approx(2.8)
