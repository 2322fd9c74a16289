"""Rate at which connections are migrated off backends in maintenance."""

from __future__ import annotations

from yarrowspindle.maintenance.evacuation import TICK_MS, BackendEvacuator, MaintenancePlan


def test_evacuation_keeps_to_its_share_of_the_rate_and_to_the_deadline() -> None:
    plan = MaintenancePlan(frozenset("m"), {"m": 10.0}, relays=4, rate=40.0)
    evacuator, connections, now, migrated = BackendEvacuator(0.0), list(range(200)), 0.0, list[int]()
    evacuator.set_plan(now, plan)
    while now < 8000.0 - 1.0:
        now += TICK_MS
        migrated += evacuator.next_migrations(now, plan, {"m": connections[len(migrated) :]})
    assert 75 <= len(migrated) <= 85, "this relay's share is 10 per second"
    migrated_at_rate = len(migrated)
    evacuator.requests_rejected = True
    migrated += evacuator.next_migrations(now + TICK_MS, plan, {"m": connections[len(migrated) :]})
    assert evacuator.rate_fraction == 0.5, "the rate is halved while requests are rejected"
    while now < 10_000.0:
        now += TICK_MS
        evacuator.set_plan(now, plan)  # a repeated plan keeps the deadline
        migrated += evacuator.next_migrations(now, plan, {"m": connections[len(migrated) :]})
    assert len(migrated) == 200 > migrated_at_rate, "all connections are migrated by the deadline"
    evacuator.set_plan(now, MaintenancePlan(frozenset("mn"), {"m": 10.0, "n": 0.0}))
    assert evacuator.next_migrations(now, plan, {"n": [7, 8, 9]}) == [7, 8, 9], (
        "connections leave a free backend at once"
    )
