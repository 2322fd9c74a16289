"""The link: datagrams that are dropped, incarnations, and bounded tables."""

from __future__ import annotations

import pytest

from tests.configuration.harness import RELAY
from yarrowspindle.configuration.link import MAX_DATAGRAMS_PER_SOURCE_PER_S, MAX_INCARNATIONS, Link
from yarrowspindle.configuration.messages import Detach, NewerIncarnation, Snapshot
from yarrowspindle.membership.codec import DroppedDatagramError


def link(name: str = "c00", incarnation: int = 5, cluster: str = "fleet", host: str = "10.0.0.1") -> Link:
    return Link(name, (host, 7950), cluster, incarnation, 1, 0.0)


def test_other_clusters_and_changed_bytes_are_dropped_and_counted() -> None:
    here, there = link(), link("r0", host="10.0.1.1")
    (data,) = there.encode(1.0, here.address, Detach())
    received = here.receive(1.0, data, there.address)
    sender = received.sender
    assert (sender.name, sender.incarnation, received.message, received.replies) == ("r0", 5, Detach(), [])
    (strange,) = link("r0", cluster="other", host="10.0.1.1").encode(1.0, here.address, Detach())
    for bad in (strange, data[:-1], bytes((data[0] ^ 1,)) + data[1:], b"", b"junk"):
        with pytest.raises(DroppedDatagramError):
            here.receive(1.0, bad, there.address)
    with pytest.raises(DroppedDatagramError):
        there.receive(1.0, data, there.address)  # its own, back
    assert sum(n for why, n in here.counts.items() if why.startswith("dropped")) == 5


def test_a_source_above_its_rate_is_dropped_and_others_are_received() -> None:
    here, there, third = link(), link("r0", host="10.0.1.1"), link("r1", host="10.0.1.2")
    for _ in range(MAX_DATAGRAMS_PER_SOURCE_PER_S):
        here.receive(1.0, there.encode(1.0, here.address, Detach())[0], there.address)
    with pytest.raises(DroppedDatagramError, match="flood"):
        here.receive(1.0, there.encode(1.0, here.address, Detach())[0], there.address)
    assert here.receive(1.0, third.encode(1.0, here.address, Detach())[0], third.address).message == Detach()
    assert here.receive(1002.0, there.encode(1.0, here.address, Detach())[0], there.address).message == Detach()


def test_a_process_whose_clock_went_back_uses_a_higher_incarnation_and_is_received() -> None:
    here, before, now = link(), link("r0", 900, host="10.0.1.1"), link("r0", 3, host="10.0.1.1")
    here.receive(1.0, before.encode(1.0, here.address, Detach())[0], before.address)
    received = here.receive(2.0, now.encode(2.0, here.address, Detach())[0], now.address)
    (later,) = received.replies
    assert received.message is None and now.receive(2.0, later, here.address).message is None and now.incarnation == 901
    assert here.receive(3.0, now.encode(3.0, here.address, Detach())[0], now.address).message == Detach()
    assert (
        now.receive(4.0, here.encode(4.0, now.address, NewerIncarnation(7))[0], here.address).message is None
        and now.incarnation == 901
    )


def test_the_tables_of_a_link_are_bounded() -> None:
    here = link()
    for n in range(MAX_INCARNATIONS + 9):
        there = link("r", host=f"10.{n >> 8}.{n & 255}.9")
        here.datagrams_by_source.clear()
        here.receive(1.0, there.encode(1.0, here.address, Detach())[0], there.address)
    assert len(here.newest_incarnations) == MAX_INCARNATIONS
    for _ in range(600):
        here.encode(1.0, RELAY.address, Snapshot(1, b"x" * 8, {f"{n}": f"{hash((n, 7))}" * 9 for n in range(40)}))
    assert len(here.fragmenter.sent) <= 256
