"""The membership core: the size of its datagrams, and the datagrams that it drops."""

from __future__ import annotations

import random
from typing import Any

import pytest

from yarrowspindle.membership.codec import Codec, DroppedDatagramError
from yarrowspindle.membership.core import Membership
from yarrowspindle.membership.effects import SendDatagram
from yarrowspindle.membership.events import DatagramReceived, LocalLoad
from yarrowspindle.membership.local_load_log import MAX_UINT32
from yarrowspindle.membership.messages import MAX_DATAGRAM_BYTES, Datagram, MembershipUpdate, MemberState, Ping
from yarrowspindle.membership.settings import PeerSettings

LOCAL_ADDRESS, PEER_ADDRESS = ("10.0.0.1", 7946), ("10.0.0.2", 7946)


def test_datagrams_stay_within_the_size_limit_at_maximum_load() -> None:
    name = "n" * 64
    core = Membership(PeerSettings(LOCAL_ADDRESS, cluster="c" * 64), name, (1 << 52), 1, 0.0)
    core.take_effects()
    for n in range(300):
        core.members.apply(MembershipUpdate(f"{n:064d}", "100.100.100.100", 65_535, 1 << 52, 7, MemberState.ALIVE), 0.0)
    large = MAX_UINT32 - 1
    local_load = LocalLoad(
        {large - 17 * n: (large, float(large)) for n in range(2000)},
        {large - n: 1e9 for n in range(500)},
        {large - n: (1e6, 1e9, 1.0) for n in range(500)},
    )
    sent = [e for _ in range(8) for e in core.step(1e7, local_load) if isinstance(e, SendDatagram)]
    assert sent and max(len(e.data) for e in sent) <= MAX_DATAGRAM_BYTES
    core.full_sync.send_table(core.members.table[f"{1:064d}"], wants_table=True)
    assert max(len(e.data) for e in core.take_effects() if isinstance(e, SendDatagram)) <= MAX_DATAGRAM_BYTES


def test_malformed_and_foreign_datagrams_and_floods_are_counted_and_dropped() -> None:
    core = Membership(PeerSettings(LOCAL_ADDRESS), "a", 1, 1, 0.0)
    codec, rng = Codec("default"), random.Random(3)

    def encoded(cluster: str = "default", version: int = 1, name: str = "b", **more: Any) -> bytes:
        return codec.encode(Datagram(version, cluster, name, *PEER_ADDRESS, 1, 0, 1, Ping(1, "a", 0), **more))

    valid = encoded()
    cases = [rng.randbytes(rng.randrange(1300)) for _ in range(300)] + [valid[:n] for n in range(len(valid))]
    cases += [encoded("other"), encoded(version=2), b"\xc1", b"", encoded(name="a")]
    for n, data in enumerate(cases):
        core.step(float(n), DatagramReceived(data, PEER_ADDRESS))
    assert core.members.size == 1
    assert core.counts["dropped_another_cluster"] == core.counts["dropped_another_version"] == 1
    for position in range(len(valid)):
        corrupt = valid[:position] + bytes((valid[position] ^ 1,)) + valid[position + 1 :]
        with pytest.raises(DroppedDatagramError):
            codec.decode(corrupt)
    for _ in range(5000):
        core.step(5000.0, DatagramReceived(encoded(), PEER_ADDRESS))
    assert core.counts["dropped_flood"] >= 3900 and core.members.size == 2
    core.step(6001.0, DatagramReceived(encoded(), PEER_ADDRESS))
    assert core.members.table["b"].last_heard == 6001.0
