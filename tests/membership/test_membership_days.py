"""Membership under faults, on the virtual clock: the same core and driver as in the daemon."""

from __future__ import annotations

import pytest

from yarrowspindle.lab.faults import FAULT_KINDS, Fault, FaultError, FaultyNetwork, parse_kinds, relay_names, schedule
from yarrowspindle.lab.model.members import Relays, play_members
from yarrowspindle.lab.model.peering import address_of
from yarrowspindle.membership.events import DatagramReceived, LocalLoad
from yarrowspindle.membership.timers import PeriodicTimer

SETS = (
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


def started(relays: int, seed: int = 1) -> Relays:
    world = Relays(relays, seed)
    for index in range(relays):
        world.start(index)
    world.run(4.0)
    assert world.agree() and world.true_sums()
    return world


def fault(world: Relays, word: str, for_s: float, one: str, other: str = "") -> None:
    named = Fault(word, 0.0, for_s, 1.0, 0.0, tuple(one.split()), tuple(other.split()))
    world.net.apply([named], world.kill, world.start)
    world.run(for_s + 0.001)


@pytest.mark.parametrize("words", SETS)
def test_all_relays_agree_on_members_and_totals_after_the_faults(words: tuple[str, ...]) -> None:
    for seed in range(3):
        day = play_members((3, 5, 9)[seed % 3], seed, words)
        assert 0.0 <= day.agreed_s <= 15.0, f"seed {seed}: {[str(f) for f in day.faults]}"


def test_a_failing_seed_replays_exactly() -> None:
    days = [play_members(5, 42, ("loss", "stall", "reorder")) for _ in range(2)]
    assert (days[0].bytes, days[0].datagrams, days[0].agreed_s) == (days[1].bytes, days[1].datagrams, days[1].agreed_s)


def test_a_one_way_cut_between_two_relays_makes_no_member_dead() -> None:
    """The helpers still reach it, and acknowledge that."""
    world = started(5)
    fault(world, "oneway", 15.0, "r0", "r3")
    assert all(peer.core.counts["dead"] == 0 for peer in world.net.peers.values()) and world.agree()


@pytest.mark.parametrize(("relays", "one", "other"), [(5, "r0 r1", "r2 r3 r4"), (2, "r0", "r1")])
def test_a_partition_makes_two_clusters_and_heals(relays: int, one: str, other: str) -> None:
    world = started(relays)
    fault(world, "split", 20.0, one, other)
    for side in (one.split(), other.split()):
        for name in side:
            assert world.net.peers[int(name[1:])].core.members.names == side
            assert world.others[int(name[1:])].reporting_relays == len(side) - 1, "the other side's load is removed"
    assert world.until(lambda: world.agree() and world.true_sums(), 10.0) >= 0.0


def test_a_relay_stalled_for_ten_seconds_suspects_no_one_and_rejoins() -> None:
    world = started(5)
    before = {i: peer.core.counts["suspicions"] for i, peer in world.net.peers.items()}
    fault(world, "stall", 10.0, "r2")
    world.run(1.5)
    assert world.net.peers[2].core.counts["stood"] >= 1
    assert world.net.peers[2].core.counts["suspicions"] == before[2], "its local health falls first"
    assert world.until(lambda: world.agree() and world.true_sums(), 5.0) >= 0.0


def test_the_load_of_a_killed_relay_is_removed_within_five_seconds() -> None:
    for seed in range(20):
        world = started(5, seed)
        for backend in range(1, 13):  # half of all load
            world.holds[1][backend] = (20, 2000.0)
        world.run(1.0)
        world.kill(1)
        assert world.until(world.true_sums, 5.0) >= 0.0, f"seed {seed}"


def test_a_relay_that_leaves_is_removed_at_once_and_none_is_suspected() -> None:
    world = started(5)
    world.net.peers[3].leave()
    assert world.until(lambda: world.agree() and world.true_sums(), 0.5) >= 0.0
    assert all(peer.core.counts["suspicions"] == 0 for peer in world.net.peers.values())


def test_a_hundred_relays_started_in_one_second_join_with_limited_bytes() -> None:
    world = Relays(100, 3, held=2)
    for index in range(100):
        world.clock.after(10.0 * index, world.start, index)
    world.run(1.0)
    before = world.net.bytes
    assert world.until(world.agree, 10.0) >= 0.0
    assert (world.net.bytes - before) / 100 / max(world.clock.seconds - 1.0, 1.0) < 100_000.0


def test_a_rolling_restart_gives_new_incarnations() -> None:
    world = started(5)
    incarnations = [peer.core.members.local.incarnation for peer in world.net.peers.values()]
    fault(world, "restart", 10.0, "")
    assert world.until(lambda: world.agree() and world.true_sums(), 5.0) >= 0.0
    assert all(
        peer.core.members.local.incarnation > incarnation
        for peer, incarnation in zip(world.net.peers.values(), incarnations, strict=True)
    )


def test_late_and_repeated_datagrams_of_an_earlier_incarnation_change_nothing() -> None:
    world = started(3)
    received: list[bytes] = []
    target = world.net.peers[0]
    came = target.came

    def listen(data: bytes, source: tuple[str, int]) -> None:
        received.append(data)
        came(data, source)

    target.came = listen  # type: ignore[method-assign]
    world.run(2.0)
    target.came = came  # type: ignore[method-assign]
    world.kill(1)
    world.run(0.2)
    world.start(1)
    world.holds[1] = {1: (1, 1.0)}
    assert world.until(lambda: world.agree() and world.true_sums(), 5.0) >= 0.0
    for data in received * 3:
        world.net.peers[0].driver.post(DatagramReceived(data, address_of(1)))
    assert target.core.counts["dropped_earlier_life"] > 0 and target.core.signals.counts["signals_old"] > 0
    world.run(0.5)
    assert world.agree() and world.true_sums()


def test_load_signals_that_are_too_old_do_not_count() -> None:
    """Each datagram is delayed by 5 s; an age counted from the arrival alone would not show that."""
    world = started(3)
    world.net.faulty_network.start(Fault("old", 0.0, 60.0, 1.0, 5000.0))
    world.run(12.0)
    for _ in range(40):
        world.run(0.5)
        assert all(others.reporting_relays == 0 for others in world.others.values())


def test_seeds_that_do_not_answer_are_contacted_again_with_backoff() -> None:
    world = Relays(1, 1)
    world.start(0)
    world.run(60.0)
    peer = world.net.peers[0]
    assert peer.core.members.size == 1 and 10 < peer.core.counts["sent"] < 60
    assert 0 not in world.others, "no update without peers"


def test_a_name_used_twice_belongs_to_the_later_relay_and_returns_to_the_first() -> None:
    world = started(3)
    world.net.names[7] = "r1"
    world.holds += [{}] * 5
    world.start(7)
    world.run(8.0)
    first, later = world.net.peers[1], world.net.peers[7]
    assert first.core.members.displaced and not later.core.members.displaced
    assert sum("has the name r1" in text for _, text in first.log) == 1
    assert world.net.peers[0].core.members.table["r1"].address == address_of(7)
    later.die()
    del world.net.peers[7]
    assert world.until(lambda: not first.core.members.displaced and world.agree(), 20.0) >= 0.0


def test_a_flood_from_outside_the_cluster_does_not_disturb_the_members() -> None:
    world = started(3)
    target = world.net.peers[0]
    for _ in range(200):
        for _ in range(50):
            target.came(b"x" * 900, ("10.9.9.9", 1))
        world.run(0.025)
    counts = target.core.counts
    assert counts["dropped_flood"] + counts["dropped_nonsense"] == 10_000 and counts["dropped_flood"] >= 4000
    assert world.agree() and world.true_sums() and counts["dead"] == 0


def test_relays_with_different_endpoint_lists_exchange_all_loads() -> None:
    world = started(3)
    world.holds[0] = {901: (3, 30.0)}  # a backend that the peers' lists do not have yet
    world.run(1.0)
    assert world.told[1][901] == world.told[2][901] == (3, 30.0)


def test_fault_names_are_checked_and_a_schedule_is_the_same_for_the_same_seed() -> None:
    with pytest.raises(FaultError, match="'los' is no fault"):
        parse_kinds("los,cut")
    names = relay_names(5)
    drawn = [schedule(list(FAULT_KINDS), names, ["n0"], 9, 1.0, 6.0) for _ in range(2)]
    assert drawn[0] == drawn[1] and len(drawn[0]) == len(FAULT_KINDS)
    assert all(f.start_s >= 1.0 and f.end_s <= 7.01 for f in drawn[0])
    kill, stall = (next(f for f in drawn[0] if f.kind == word) for word in ("kill", "stall"))
    assert kill.parties != stall.parties


def test_the_fate_of_a_pair_s_datagrams_does_not_depend_on_other_traffic() -> None:
    def fates(noise: bool) -> list[int]:
        faulty_network = FaultyNetwork(4)
        faulty_network.start(Fault("loss", 0.0, 9.0, 0.4))
        found = []
        for _ in range(50):
            if noise:
                faulty_network.deliveries("r2", "r3", b"x")
            found.append(len(faulty_network.deliveries("r0", "r1", b"x")))
        return found

    assert fates(False) == fates(True) and 10 < sum(fates(False)) < 45


def test_a_periodic_timer_whose_handler_fails_is_reported_and_retried() -> None:
    world = started(3)
    peer = world.net.peers[0]
    failed: list[str] = []
    peer.driver.on_failure = lambda event: failed.append(type(event).__name__)
    handlers, timer_handlers = peer.core.event_handlers, peer.core.timer_handlers
    on_probe, on_local_load = timer_handlers[PeriodicTimer.PROBE], handlers[LocalLoad]

    def fails(*_: object) -> None:
        raise RuntimeError("on purpose")

    timer_handlers[PeriodicTimer.PROBE], handlers[LocalLoad] = fails, fails
    world.run(2.5)
    assert "TimerFired" in failed and "LocalLoad" in failed
    timer_handlers[PeriodicTimer.PROBE], handlers[LocalLoad] = on_probe, on_local_load
    world.change(0)
    assert world.until(lambda: world.agree() and world.true_sums(), 10.0) >= 0.0
