"""The link: dropped datagrams, incarnations and bounded tables."""

from __future__ import annotations

import pytest

from tests.configuration.harness import RELAY
from yarrowspindle.configuration.link import MAX_DATAGRAMS_PER_SOURCE_PER_S, MAX_INCARNATIONS, Link
from yarrowspindle.configuration.messages import Detach, NewerIncarnation, Snapshot
from yarrowspindle.membership.codec import DroppedDatagramError


def link(name: str = "c00", incarnation: int = 5, cluster: str = "fleet", host: str = "10.0.0.1") -> Link:
    return Link(name, (host, 7950), cluster, incarnation, 1, 0.0)


def test_datagrams_of_other_clusters_and_corrupt_datagrams_are_dropped_and_counted() -> None:
    local, remote = link(), link("r0", host="10.0.1.1")
    (data,) = remote.encode(1.0, local.address, Detach())
    received = local.receive(1.0, data, remote.address)
    sender = received.sender
    assert (sender.name, sender.incarnation, received.message, received.replies) == ("r0", 5, Detach(), [])
    (foreign,) = link("r0", cluster="other", host="10.0.1.1").encode(1.0, local.address, Detach())
    for bad in (foreign, data[:-1], bytes((data[0] ^ 1,)) + data[1:], b"", b"junk"):
        with pytest.raises(DroppedDatagramError):
            local.receive(1.0, bad, remote.address)
    with pytest.raises(DroppedDatagramError):
        remote.receive(1.0, data, remote.address)  # the sender receives its own datagram
    assert sum(n for counter, n in local.counts.items() if counter.startswith("dropped")) == 5


def test_a_source_above_its_rate_is_dropped_and_others_are_received() -> None:
    local, remote, other = link(), link("r0", host="10.0.1.1"), link("r1", host="10.0.1.2")
    for _ in range(MAX_DATAGRAMS_PER_SOURCE_PER_S):
        local.receive(1.0, remote.encode(1.0, local.address, Detach())[0], remote.address)
    with pytest.raises(DroppedDatagramError, match="flood"):
        local.receive(1.0, remote.encode(1.0, local.address, Detach())[0], remote.address)
    assert local.receive(1.0, other.encode(1.0, local.address, Detach())[0], other.address).message == Detach()
    assert local.receive(1002.0, remote.encode(1.0, local.address, Detach())[0], remote.address).message == Detach()


def test_a_process_whose_clock_was_set_back_raises_its_incarnation_and_is_accepted() -> None:
    local, earlier, restarted = link(), link("r0", 900, host="10.0.1.1"), link("r0", 3, host="10.0.1.1")
    local.receive(1.0, earlier.encode(1.0, local.address, Detach())[0], earlier.address)
    received = local.receive(2.0, restarted.encode(2.0, local.address, Detach())[0], restarted.address)
    (reply,) = received.replies
    assert (
        received.message is None
        and restarted.receive(2.0, reply, local.address).message is None
        and restarted.incarnation == 901
    )
    assert local.receive(3.0, restarted.encode(3.0, local.address, Detach())[0], restarted.address).message == Detach()
    assert (
        restarted.receive(4.0, local.encode(4.0, restarted.address, NewerIncarnation(7))[0], local.address).message
        is None
        and restarted.incarnation == 901
    )


def test_the_tables_of_a_link_are_bounded() -> None:
    local = link()
    for n in range(MAX_INCARNATIONS + 9):
        remote = link("r", host=f"10.{n >> 8}.{n & 255}.9")
        local.datagrams_by_source.clear()
        local.receive(1.0, remote.encode(1.0, local.address, Detach())[0], remote.address)
    assert len(local.newest_incarnations) == MAX_INCARNATIONS
    for _ in range(600):
        local.encode(1.0, RELAY.address, Snapshot(1, b"x" * 8, {f"{n}": f"{hash((n, 7))}" * 9 for n in range(40)}))
    assert len(local.fragmenter.sent) <= 256
