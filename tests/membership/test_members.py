"""The rules of members, of suspicion and of signals, on the pure parts alone."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yarrowspindle.decisions.peer_loads import PeerLoadTable
from yarrowspindle.membership.codec import (
    ALIVE,
    DEAD,
    LEFT,
    MOST,
    SUSPECT,
    Codec,
    Datagram,
    DroppedDatagramError,
    LoadSignal,
    MembershipUpdate,
    Ping,
)
from yarrowspindle.membership.core import Membership
from yarrowspindle.membership.failure_detector import Detector, Probe
from yarrowspindle.membership.load_signals import ENTRIES, MAX_FIGURE, LoadSignals, LocalLoadLog
from yarrowspindle.membership.members import Members
from yarrowspindle.membership.messages import DatagramReceived, LocalLoad, SendDatagram
from yarrowspindle.membership.settings import PeerError, PeerSettings, read_peers

HERE, THERE = ("10.0.0.1", 7946), ("10.0.0.2", 7946)


def word(state: int, incarnation: int = 1, turn: int = 0, name: str = "b", by: str = "") -> MembershipUpdate:
    return MembershipUpdate(name, *THERE, incarnation, turn, state, by)


WORDS = st.builds(word, st.integers(ALIVE, LEFT), st.integers(1, 3), st.integers(0, 3), st.sampled_from("bc"))


def state_of(members: Members, name: str = "b") -> tuple[int, int, int] | None:
    member = members.table.get(name)
    return None if member is None else (member.incarnation, member.turn, member.state)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(WORDS, max_size=12), st.randoms(use_true_random=False))
def test_the_same_words_in_any_order_and_number_end_in_the_same_table(
    words: list[MembershipUpdate], rng: random.Random
) -> None:
    def table(order: list[MembershipUpdate]) -> list[tuple[int, int, int] | None]:
        members = Members("a", HERE, 1, 0.0)
        for name in "bc":  # both are known from the start: of whom nothing is known nothing ends
            members.told(word(ALIVE, 1, 0, name), 0.0)
        for one in order:
            members.told(one, 1.0)
        return [state_of(members, name) for name in "bc"]

    # A life that left takes no later turn, so an order may only matter beyond a departure.
    words = [w for w in words if w.state != LEFT]
    shuffled = words + words[: len(words) // 2]
    rng.shuffle(shuffled)
    assert table(words) == table(shuffled)


def test_a_incarnation_that_left_never_returns_and_a_dead_one_only_by_a_later_turn() -> None:
    members = Members("a", HERE, 1, 0.0)
    members.told(word(ALIVE), 0.0)
    members.told(word(DEAD), 1.0)
    assert members.size == 1
    assert members.told(word(ALIVE), 2.0) is None and members.told(word(SUSPECT), 2.0) is None
    assert members.told(word(ALIVE, turn=1), 2.0) is not None and members.size == 2
    members.told(word(LEFT, turn=1), 3.0)
    assert members.told(word(ALIVE, turn=9), 4.0) is None and members.size == 1
    assert members.told(word(ALIVE, incarnation=2), 5.0) is not None and members.names == ["a", "b"]


def test_one_objects_to_a_suspicion_and_takes_a_later_incarnation_than_any_that_is_told_of() -> None:
    members = Members("a", HERE, 5, 0.0)
    members.told(MembershipUpdate("a", *HERE, 5, 0, SUSPECT, "b"), 0.0)
    assert (members.me.incarnation, members.me.turn) == (5, 1)
    members.told(MembershipUpdate("a", *HERE, 9, 3, DEAD, "b"), 0.0)  # an earlier process under a clock that was ahead
    assert (members.me.incarnation, members.me.turn) == (10, 0) and not members.displaced


def test_a_name_taken_twice_is_the_later_process_s_until_that_has_ended() -> None:
    members = Members("a", HERE, 5, 0.0)
    members.told(MembershipUpdate("a", *THERE, 6, 0, ALIVE), 0.0)
    assert members.displaced and members.me.incarnation == 5
    members.told(MembershipUpdate("a", *THERE, 6, 0, DEAD), 1.0)
    assert not members.displaced and members.me.incarnation == 7


def test_the_table_and_its_rumours_are_bounded() -> None:
    members = Members("a", HERE, 1, 0.0)
    for n in range(6000):
        members.told(word(ALIVE, name=f"s{n}"), 0.0)
    assert len(members.table) == 4096
    told = 0
    for _ in range(200):
        told += len(members.take_rumours(1000))
    assert told > 0 and all(len(members.take_rumours(100)) <= 2 for _ in range(5))
    for n in range(6000):
        members.told(word(DEAD, name=f"s{n}"), 1.0)
    members.told(word(ALIVE, name="new"), 2.0)
    assert "new" in members.table and len(members.table) == 4096, "one of the dead makes room"
    members.forget(5.0)
    assert set(members.table) == {"a", "new"} and set(members.rumours) <= {"a", "new"}


def detector() -> Detector:
    return Detector(500.0, 1500.0, random.Random(1).shuffle)


def test_each_is_probed_once_in_a_round_and_who_stood_still_accuses_nobody() -> None:
    d = detector()
    names = [f"r{n}" for n in range(7)]
    assert sorted(filter(None, (d.next(names) for _ in range(7)))) == names
    d.probe = Probe("r1", 1, 0.0)
    assert d.stood(3000.0, 10_000.0) and d.judged(10_000.0) is None
    d.probe = Probe("r1", 2, 10_000.0)
    assert d.judged(10_500.0) is None, "answers may still lie in our own socket"
    d.probe = Probe("r1", 3, 12_000.0)
    assert d.judged(12_500.0) == "r1" and d.health > 2


def test_a_suspicion_is_the_shorter_the_more_share_it_and_a_stall_does_not_end_it() -> None:
    d = detector()
    assert d.suspect("b", 1, 0, "a", 0.0) and not d.suspect("b", 1, 0, "a", 1.0)
    alone = d.lasts_ms(d.suspicions["b"], 5)
    d.suspect("b", 1, 0, "c", 0.0)
    assert d.lasts_ms(d.suspicions["b"], 5) < alone and d.ended(5, 1499.0) == []
    d.stood(10_000.0, 11_000.0)
    assert d.ended(5, 12_500.0) == [] and d.ended(5, 16_000.0) == ["b"]
    assert d.suspect("b", 1, 1, "c", 0.0) and d.suspicions["b"].by == {"c"}, "a later turn is another suspicion"


def test_health_falls_without_the_helpers_word_and_recovers() -> None:
    d = detector()
    d.probe = Probe("b", 1, 0.0, helpers=3, nacks=3)
    d.judged(500.0)
    assert d.health == 0, "the helpers hear us: it is not our fault"
    d.probe = Probe("b", 2, 0.0, helpers=3)
    d.judged(500.0)
    assert d.health == 3 and d.beat_ms == 2000.0
    for n in range(9):
        d.probe = Probe("b", n, 0.0, answered=True)
        d.judged(500.0)
    assert d.health == 0


class Told:
    """Two ends of signals; words are lost, doubled and swapped by a generator."""

    def __init__(self) -> None:
        self.own, self.other, self.at, self.holds = LocalLoadLog(), LoadSignals(), 0, dict[int, tuple[int, float]]()
        self.waiting: list[tuple[int, LoadSignal]] = []
        self.other.of("b", 1).clock(0.0, 0.0)

    def beat(self, rng: random.Random, loss: float) -> None:
        self.at += 1
        self.waiting.append((self.at, self.own.signal(LocalLoad(dict(self.holds)), float(self.at), rng.choice((1, 3)))))
        if rng.random() < 0.2 and len(self.waiting) < 3:
            return  # overtaken by the next
        wanted = False
        for at, signal in reversed(self.waiting):
            for _ in range(2 if rng.random() < 0.2 else 1):
                if rng.random() >= loss:
                    wanted |= self.other.told("b", 1, at, signal, float(self.at))
        self.waiting.clear()
        if wanted and rng.random() >= loss:
            for signal in self.own.whole():
                self.at += 1
                self.other.told("b", 1, self.at, signal, float(self.at))
        self.at += 250


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, 1 << 30), st.sampled_from([0.0, 0.2, 0.5]), st.integers(1, 300))
def test_sums_are_right_soon_after_what_was_lost(seed: int, loss: float, keys: int) -> None:
    rng, t = random.Random(seed), Told()
    for _ in range(60):
        for _ in range(rng.randrange(1 + keys // 4)):
            key = rng.randrange(1, keys + 1) * 7919 % MAX_FIGURE
            t.holds[key] = (rng.randrange(1, 60), float(rng.randrange(1000)))
            if rng.random() < 0.3:
                del t.holds[key]
        t.beat(rng, loss)
    for _ in range(120):  # a part of the whole goes with each fourth word
        t.beat(rng, 0.0)
    others = t.other.others(float(t.at), 2, 0)
    heard = t.other.heard["b"].holds
    assert {k: n for k, (n, _) in heard.items()} == {k: n for k, (n, _) in t.holds.items()}
    assert all(abs(heard[k][1] - load) <= 0.06 * max(load, 1.0) + 1.0 for k, (_, load) in t.holds.items())
    assert others.reporting_relays == 1 and {k: v[0] for k, v in others.loads.items() if v[0]} == {
        k: n for k, (n, _) in t.holds.items()
    }


def test_what_one_held_goes_with_it_and_word_from_an_earlier_incarnation_does_not_bring_it_back() -> None:
    signals = LoadSignals()
    signals.of("b", 1).clock(0.0, 0.0)
    signals.told("b", 1, 10, LoadSignal(0, 1, [5, 2, 100]), 10.0)
    assert signals.others(20.0, 2, 0).loads == {5: (2, 100.0)}
    signals.gone("b")
    assert signals.others(30.0, 1, 0).loads == {5: (0, 0.0)} and not signals.sums
    signals.of("b", 2).clock(0.0, 0.0)
    assert signals.others(40.0, 2, 0).loads == {}


def test_word_that_was_held_back_is_known_to_be_old_and_decays_to_what_is_done_without() -> None:
    signals = LoadSignals()
    heard = signals.of("b", 1)
    heard.clock(1000.0, 0.0)  # its clock showed 1,000 when ours showed 0 or more
    signals.told("b", 1, 1000, LoadSignal(0, 1, [5, 2, 100]), 5000.0)  # on its way for 5 s
    others = signals.others(5000.0, 2, 0)
    assert heard.age(5000.0) == 5000.0 and others.reporting_relays == 0 and others.loads == {}
    book = PeerLoadTable(4)
    assert (book.load_weight(0.0), book.similar_balancers(0.0)) == (0.0, 4.0)
    from yarrowspindle.decisions.events import PeerLoads

    book.on_peer_loads(PeerLoads({5: (2, 100.0)}, reporting_relays=3, relays=4, age_ms=100.0), 0.0)
    assert (book.load_weight(0.0), book.similar_balancers(0.0)) == (1.0, 1.0) and (
        book.load_weight(9000.0),
        book.similar_balancers(9000.0),
    ) == (0.0, 4.0)
    weight, similar = book.load_weight(3400.0), book.similar_balancers(3400.0)
    assert 0.0 < weight < 0.5 and similar == pytest.approx(2.8)


def test_datagrams_stay_within_their_bytes_whatever_is_held() -> None:
    name = "n" * 64
    core = Membership(PeerSettings(HERE, cluster="c" * 64), name, (1 << 52), 1, 0.0)
    core.take_effects()
    for n in range(300):
        core.members.told(MembershipUpdate(f"{n:064d}", "100.100.100.100", 65_535, 1 << 52, 7, ALIVE), 0.0)
    big = MAX_FIGURE - 1
    own = LocalLoad(
        {big - 17 * n: (big, float(big)) for n in range(2000)},
        {big - n: 1e9 for n in range(500)},
        {big - n: (1e6, 1e9, 1.0) for n in range(500)},
    )
    sent = [e for _ in range(8) for e in core.step(1e7, own) if isinstance(e, SendDatagram)]
    assert sent and max(len(e.data) for e in sent) <= MOST
    core._whole_table(core.members.table[f"{1:064d}"])
    assert max(len(e.data) for e in core.take_effects() if isinstance(e, SendDatagram)) <= MOST


def test_nonsense_strangers_and_floods_are_counted_and_dropped() -> None:
    core = Membership(PeerSettings(HERE), "a", 1, 1, 0.0)
    codec, rng = Codec("default"), random.Random(3)

    def datagram(cluster: str = "default", version: int = 1, name: str = "b", **more: Any) -> bytes:
        return codec.encode(Datagram(version, cluster, name, *THERE, 1, 0, 1, Ping(1, "a", 0), **more))

    whole = datagram()
    cases = [rng.randbytes(rng.randrange(1300)) for _ in range(300)] + [whole[:n] for n in range(len(whole))]
    cases += [datagram("other"), datagram(version=2), b"\xc1", b"", datagram(name="a")]
    for n, data in enumerate(cases):
        core.step(float(n), DatagramReceived(data, THERE))
    assert core.members.size == 1
    assert core.counts["dropped_another_cluster"] == core.counts["dropped_another_version"] == 1
    for position in range(len(whole)):
        bent = whole[:position] + bytes((whole[position] ^ 1,)) + whole[position + 1 :]
        with pytest.raises(DroppedDatagramError):
            codec.decode(bent)
    for _ in range(5000):
        core.step(5000.0, DatagramReceived(datagram(), THERE))
    assert core.counts["dropped_flood"] >= 3900 and core.members.size == 2
    core.step(6001.0, DatagramReceived(datagram(), THERE))
    assert core.members.table["b"].heard == 6001.0


@pytest.mark.parametrize(
    ("section", "says"),
    [
        ({}, "peers.listen is missing"),
        ({"listen": "here"}, "peers.listen is 'here'"),
        ({"listen": "10.0.0.1:1", "sedes": []}, "peers.sedes is not known; seeds is"),
        ({"listen": "10.0.0.1:1", "seeds": ["::1:5"]}, "peers.seeds is '::1:5'"),
        ({"listen": "10.0.0.1:1", "seeds": "10.0.0.2:1"}, "a list of addresses"),
        ({"listen": "10.0.0.1:1", "probe_s": 0}, "peers.probe_s is 0: a number from 0.05 to 60"),
        ({"listen": "10.0.0.1:1", "signal_s": True}, "peers.signal_s is True"),
        ({"listen": "10.0.0.1:1", "cluster": ""}, "peers.cluster is ''"),
        ({"listen": "10.0.0.1:1", "forget_s": 2.0}, "peers.forget_s must be at least four times"),
        ({"listen": "10.0.0.1:70000"}, "peers.listen is '10.0.0.1:70000'"),
    ],
)
def test_each_wrong_key_is_named(section: dict[str, Any], says: str) -> None:
    with pytest.raises(PeerError, match=says.replace("(", r"\(")):
        read_peers(section)


def test_the_example_is_read() -> None:
    import tomllib
    from pathlib import Path

    text = (Path(__file__).resolve().parents[2] / "deploy" / "peers.toml").read_text()
    read = read_peers(tomllib.loads(text)["peers"])
    assert read.probe_s == PeerSettings(HERE).probe_s and len(read.seeds) == 2


def test_changes_that_never_find_room_are_given_up_and_the_whole_is_asked_for() -> None:
    """Where more changes at each beat than a datagram holds, what waits to be told must not grow with time."""
    word, heard_to = LocalLoadLog(), 0
    for beat in range(200):
        loads = {key: (1, 100.0 + 37.0 * ((beat + key) % 2)) for key in range(600)}
        signal = word.signal(LocalLoad(loads), 1000.0 + 100.0 * beat)
        if signal.base <= heard_to:
            heard_to = signal.last
    assert len(word.told) <= 400 + 600 // (ENTRIES // 2)
    assert signal.base > heard_to, "who heard all of it knows that something is missing"
