"""Membership under network and process faults on a virtual clock, with the same core and driver as in the daemon."""

from __future__ import annotations

import pytest

from yarrowspindle.lab.faults import FAULT_KINDS, Fault, FaultError, FaultyNetwork, parse_kinds, relay_names, schedule
from yarrowspindle.lab.model.membership_cluster import address_of
from yarrowspindle.lab.model.membership_simulation import MembershipSimulation, run_membership_scenario
from yarrowspindle.membership.events import DatagramReceived, LocalLoad
from yarrowspindle.membership.timers import PeriodicTimer

FAULT_SETS = (
    ("loss", "stall"),
    ("split", "loss"),
    ("cut", "kill"),
    ("oneway", "double", "reorder"),
    ("lost", "late"),
    ("corrupt", "kill", "stall"),
    ("old",),
    ("mute",),
    ("restart", "loss"),
)


def start_cluster(relays: int, seed: int = 1) -> MembershipSimulation:
    cluster = MembershipSimulation(relays, seed)
    for index in range(relays):
        cluster.start(index)
    cluster.run(4.0)
    assert cluster.members_agree() and cluster.sums_are_correct()
    return cluster


def inject_fault(
    cluster: MembershipSimulation, kind: str, duration_s: float, parties: str, other_parties: str = ""
) -> None:
    injected = Fault(kind, 0.0, duration_s, 1.0, 0.0, tuple(parties.split()), tuple(other_parties.split()))
    cluster.network.schedule_faults([injected], cluster.kill, cluster.start)
    cluster.run(duration_s + 0.001)


@pytest.mark.parametrize("kinds", FAULT_SETS)
def test_all_relays_agree_on_members_and_totals_after_the_faults(kinds: tuple[str, ...]) -> None:
    for seed in range(3):
        run = run_membership_scenario((3, 5, 9)[seed % 3], seed, kinds)
        assert 0.0 <= run.converged_s <= 15.0, f"seed {seed}: {[str(f) for f in run.faults]}"


def test_a_failing_seed_replays_exactly() -> None:
    runs = [run_membership_scenario(5, 42, ("loss", "stall", "reorder")) for _ in range(2)]
    assert (runs[0].bytes, runs[0].datagrams, runs[0].converged_s) == (
        runs[1].bytes,
        runs[1].datagrams,
        runs[1].converged_s,
    )


def test_a_one_way_cut_between_two_relays_makes_no_member_dead() -> None:
    """Helpers still reach the relay, and forward its answers."""
    cluster = start_cluster(5)
    inject_fault(cluster, "oneway", 15.0, "r0", "r3")
    assert all(peer.core.counts["dead"] == 0 for peer in cluster.network.peers.values()) and cluster.members_agree()


@pytest.mark.parametrize(("relays", "parties", "other_parties"), [(5, "r0 r1", "r2 r3 r4"), (2, "r0", "r1")])
def test_a_partition_makes_two_clusters_and_heals(relays: int, parties: str, other_parties: str) -> None:
    cluster = start_cluster(relays)
    inject_fault(cluster, "split", 20.0, parties, other_parties)
    for side in (parties.split(), other_parties.split()):
        for name in side:
            assert cluster.network.peers[int(name[1:])].core.members.names == side
            assert cluster.peer_loads[int(name[1:])].reporting_relays == len(side) - 1, (
                "the other side's load is removed"
            )
    assert cluster.run_until(lambda: cluster.members_agree() and cluster.sums_are_correct(), 10.0) >= 0.0


def test_a_relay_stalled_for_ten_seconds_suspects_no_one_and_rejoins() -> None:
    cluster = start_cluster(5)
    before = {i: peer.core.counts["suspicions"] for i, peer in cluster.network.peers.items()}
    inject_fault(cluster, "stall", 10.0, "r2")
    cluster.run(1.5)
    assert cluster.network.peers[2].core.counts["stood"] >= 1
    assert cluster.network.peers[2].core.counts["suspicions"] == before[2], (
        "a stalled relay lowers its own health first"
    )
    assert cluster.run_until(lambda: cluster.members_agree() and cluster.sums_are_correct(), 5.0) >= 0.0


def test_the_load_of_a_killed_relay_is_removed_within_five_seconds() -> None:
    for seed in range(20):
        cluster = start_cluster(5, seed)
        for backend in range(1, 13):  # half of the total load
            cluster.local_loads[1][backend] = (20, 2000.0)
        cluster.run(1.0)
        cluster.kill(1)
        assert cluster.run_until(cluster.sums_are_correct, 5.0) >= 0.0, f"seed {seed}"


def test_a_relay_that_leaves_is_removed_at_once_and_none_is_suspected() -> None:
    cluster = start_cluster(5)
    cluster.network.peers[3].leave()
    assert cluster.run_until(lambda: cluster.members_agree() and cluster.sums_are_correct(), 0.5) >= 0.0
    assert all(peer.core.counts["suspicions"] == 0 for peer in cluster.network.peers.values())


def test_a_hundred_relays_started_in_one_second_join_with_limited_bytes() -> None:
    cluster = MembershipSimulation(100, 3, loads_per_relay=2)
    for index in range(100):
        cluster.clock.after(10.0 * index, cluster.start, index)
    cluster.run(1.0)
    before = cluster.network.bytes
    assert cluster.run_until(cluster.members_agree, 10.0) >= 0.0
    assert (cluster.network.bytes - before) / 100 / max(cluster.clock.seconds - 1.0, 1.0) < 100_000.0


def test_a_rolling_restart_gives_new_incarnations() -> None:
    cluster = start_cluster(5)
    incarnations = [peer.core.members.local.incarnation for peer in cluster.network.peers.values()]
    inject_fault(cluster, "restart", 10.0, "")
    assert cluster.run_until(lambda: cluster.members_agree() and cluster.sums_are_correct(), 5.0) >= 0.0
    assert all(
        peer.core.members.local.incarnation > incarnation
        for peer, incarnation in zip(cluster.network.peers.values(), incarnations, strict=True)
    )


def test_late_and_repeated_datagrams_of_an_earlier_incarnation_change_nothing() -> None:
    cluster = start_cluster(3)
    received: list[bytes] = []
    target = cluster.network.peers[0]
    on_datagram = target.on_datagram

    def record(data: bytes, source: tuple[str, int]) -> None:
        received.append(data)
        on_datagram(data, source)

    target.on_datagram = record  # type: ignore[method-assign]
    cluster.run(2.0)
    target.on_datagram = on_datagram  # type: ignore[method-assign]
    cluster.kill(1)
    cluster.run(0.2)
    cluster.start(1)
    cluster.local_loads[1] = {1: (1, 1.0)}
    assert cluster.run_until(lambda: cluster.members_agree() and cluster.sums_are_correct(), 5.0) >= 0.0
    for data in received * 3:
        cluster.network.peers[0].driver.post(DatagramReceived(data, address_of(1)))
    assert target.core.counts["dropped_earlier_life"] > 0 and target.core.signals.counts["signals_old"] > 0
    cluster.run(0.5)
    assert cluster.members_agree() and cluster.sums_are_correct()


def test_load_signals_that_are_too_old_do_not_count() -> None:
    """Each datagram is delayed by 5 s, which an age measured from the time of arrival would not include."""
    cluster = start_cluster(3)
    cluster.network.faulty_network.start(Fault("old", 0.0, 60.0, 1.0, 5000.0))
    cluster.run(12.0)
    for _ in range(40):
        cluster.run(0.5)
        assert all(others.reporting_relays == 0 for others in cluster.peer_loads.values())


def test_seeds_that_do_not_answer_are_contacted_again_with_backoff() -> None:
    cluster = MembershipSimulation(1, 1)
    cluster.start(0)
    cluster.run(60.0)
    peer = cluster.network.peers[0]
    assert peer.core.members.size == 1 and 10 < peer.core.counts["sent"] < 60
    assert 0 not in cluster.peer_loads, "the balancer gets no peer loads without peers"


def test_a_name_used_twice_belongs_to_the_later_relay_and_returns_to_the_first() -> None:
    cluster = start_cluster(3)
    cluster.network.names[7] = "r1"
    cluster.local_loads += [{}] * 5
    cluster.start(7)
    cluster.run(8.0)
    first, later = cluster.network.peers[1], cluster.network.peers[7]
    assert first.core.members.superseded and not later.core.members.superseded
    assert sum("has the name r1" in text for _, text in first.log) == 1
    assert cluster.network.peers[0].core.members.table["r1"].address == address_of(7)
    later.kill()
    del cluster.network.peers[7]
    assert cluster.run_until(lambda: not first.core.members.superseded and cluster.members_agree(), 20.0) >= 0.0


def test_a_flood_from_outside_the_cluster_does_not_disturb_the_members() -> None:
    cluster = start_cluster(3)
    target = cluster.network.peers[0]
    for _ in range(200):
        for _ in range(50):
            target.on_datagram(b"x" * 900, ("10.9.9.9", 1))
        cluster.run(0.025)
    counts = target.core.counts
    assert counts["dropped_flood"] + counts["dropped_nonsense"] == 10_000 and counts["dropped_flood"] >= 4000
    assert cluster.members_agree() and cluster.sums_are_correct() and counts["dead"] == 0


def test_relays_with_different_endpoint_lists_exchange_all_loads() -> None:
    cluster = start_cluster(3)
    cluster.local_loads[0] = {901: (3, 30.0)}  # a backend that the peers' lists do not have yet
    cluster.run(1.0)
    assert cluster.known_loads[1][901] == cluster.known_loads[2][901] == (3, 30.0)


def test_fault_names_are_checked_and_a_schedule_is_the_same_for_the_same_seed() -> None:
    with pytest.raises(FaultError, match="unknown fault 'los'; known faults: loss,"):
        parse_kinds("los,cut")
    names = relay_names(5)
    drawn = [schedule(list(FAULT_KINDS), names, ["n0"], 9, 1.0, 6.0) for _ in range(2)]
    assert drawn[0] == drawn[1] and len(drawn[0]) == len(FAULT_KINDS)
    assert all(f.start_s >= 1.0 and f.end_s <= 7.01 for f in drawn[0])
    kill, stall = (next(fault for fault in drawn[0] if fault.kind == kind) for kind in ("kill", "stall"))
    assert kill.participants != stall.participants


def test_the_faults_of_a_link_do_not_depend_on_other_traffic() -> None:
    def delivery_counts(with_noise: bool) -> list[int]:
        faulty_network = FaultyNetwork(4)
        faulty_network.start(Fault("loss", 0.0, 9.0, 0.4))
        counts = []
        for _ in range(50):
            if with_noise:
                faulty_network.deliveries("r2", "r3", b"x")
            counts.append(len(faulty_network.deliveries("r0", "r1", b"x")))
        return counts

    assert delivery_counts(False) == delivery_counts(True) and 10 < sum(delivery_counts(False)) < 45


def test_a_periodic_timer_whose_handler_fails_is_reported_and_retried() -> None:
    cluster = start_cluster(3)
    peer = cluster.network.peers[0]
    failed: list[str] = []
    peer.driver.on_failure = lambda event: failed.append(type(event).__name__)
    handlers, timer_handlers = peer.core.event_handlers, peer.core.timer_handlers
    on_probe, on_local_load = timer_handlers[PeriodicTimer.PROBE], handlers[LocalLoad]

    def fail(*_: object) -> None:
        raise RuntimeError("on purpose")

    timer_handlers[PeriodicTimer.PROBE], handlers[LocalLoad] = fail, fail
    cluster.run(2.5)
    assert "TimerFired" in failed and "LocalLoad" in failed
    timer_handlers[PeriodicTimer.PROBE], handlers[LocalLoad] = on_probe, on_local_load
    cluster.change_load(0)
    assert cluster.run_until(lambda: cluster.members_agree() and cluster.sums_are_correct(), 10.0) >= 0.0
