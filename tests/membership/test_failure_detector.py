"""The failure detector: probe order, suspicions and local health."""

from __future__ import annotations

import random

from yarrowspindle.membership.failure_detector import FailureDetector, Probe


def build_detector() -> FailureDetector:
    return FailureDetector(500.0, 1500.0, random.Random(1).shuffle)


def test_each_peer_is_probed_once_in_a_round_and_a_stalled_relay_suspects_no_one() -> None:
    detector = build_detector()
    names = [f"r{n}" for n in range(7)]
    assert sorted(filter(None, (detector.next_target(names) for _ in range(7)))) == names
    detector.probe = Probe("r1", 1, 0.0)
    assert detector.detect_stall(3000.0, 10_000.0) and detector.finish_probe(10_000.0) is None
    detector.probe = Probe("r1", 2, 10_000.0)
    assert detector.finish_probe(10_500.0) is None, "after a stall, answers may still be in the socket buffer"
    detector.probe = Probe("r1", 3, 12_000.0)
    assert detector.finish_probe(12_500.0) == "r1" and detector.health_penalty > 2


def test_a_suspicion_shared_by_more_relays_is_shorter_and_a_stall_does_not_end_it() -> None:
    detector = build_detector()
    assert detector.add_suspicion("b", 1, 0, "a", 0.0) and not detector.add_suspicion("b", 1, 0, "a", 1.0)
    alone = detector.suspicion_timeout_ms(detector.suspicions["b"], 5)
    detector.add_suspicion("b", 1, 0, "c", 0.0)
    assert (
        detector.suspicion_timeout_ms(detector.suspicions["b"], 5) < alone
        and detector.expired_suspicions(5, 1499.0) == []
    )
    detector.detect_stall(10_000.0, 11_000.0)
    assert detector.expired_suspicions(5, 12_500.0) == [] and detector.expired_suspicions(5, 16_000.0) == ["b"]
    assert detector.add_suspicion("b", 1, 1, "c", 0.0) and detector.suspicions["b"].suspected_by == {"c"}, (
        "a suspicion after a further refutation is a new one"
    )


def test_the_health_penalty_rises_without_nacks_and_falls_with_answers() -> None:
    detector = build_detector()
    detector.probe = Probe("b", 1, 0.0, helpers=3, nacks=3)
    detector.finish_probe(500.0)
    assert detector.health_penalty == 0, "the helpers are reachable, so this relay is not at fault"
    detector.probe = Probe("b", 2, 0.0, helpers=3)
    detector.finish_probe(500.0)
    assert detector.health_penalty == 3 and detector.interval_ms == 2000.0
    for n in range(9):
        detector.probe = Probe("b", n, 0.0, answered=True)
        detector.finish_probe(500.0)
    assert detector.health_penalty == 0
