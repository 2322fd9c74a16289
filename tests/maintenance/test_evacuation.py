"""How fast connections leave backends in maintenance."""

from __future__ import annotations

from yarrowspindle.maintenance.evacuation import BEAT_MS, BackendEvacuator, MaintenancePlan


def test_emptying_keeps_to_its_part_of_the_rate_and_to_the_deadline() -> None:
    task = MaintenancePlan(frozenset("m"), {"m": 10.0}, relays=4, rate=40.0)
    emptying, requests, now, moved = BackendEvacuator(0.0), list(range(200)), 0.0, list[int]()
    emptying.told(now, task)
    while now < 8000.0 - 1.0:
        now += BEAT_MS
        moved += emptying.beat(now, task, {"m": requests[len(moved) :]})
    assert 75 <= len(moved) <= 85, "10 a second are this relay's part"
    slow = len(moved)
    emptying.refused = True
    moved += emptying.beat(now + BEAT_MS, task, {"m": requests[len(moved) :]})
    assert emptying.part == 0.5, "less while jobs are refused"
    while now < 10_000.0:
        now += BEAT_MS
        emptying.told(now, task)  # told again: the time counts from the first
        moved += emptying.beat(now, task, {"m": requests[len(moved) :]})
    assert len(moved) == 200 > slow, "at the deadline nothing is left"
    emptying.told(now, MaintenancePlan(frozenset("mn"), {"m": 10.0, "n": 0.0}))
    assert emptying.beat(now, task, {"n": [7, 8, 9]}) == [7, 8, 9], "what is free already is left at once"
