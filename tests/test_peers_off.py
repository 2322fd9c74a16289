"""Without peers every decision is what it was before the module knew of others: whole days of the model, hashed."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from yarrowspindle.lab.model import Fleet, FleetSpec
from yarrowspindle.lab.model.deployments import ASKED, PROBED, TROUBLES
from yarrowspindle.routing.reducer import Reducer

# Taken on the build before (694cc79): all effects of all relays, in their order.
BEFORE = {
    ("asked", "vanish"): "bd05bc45e3cf874d", ("asked", "drain"): "d900b51b825fd969",
    ("blind", "vanish"): "d2a54b887416b406", ("blind", "drain"): "34ca0ed3af45459a",
    ("probed", "vanish"): "b5a5742086a819ed", ("probed", "drain"): "f4b27eb8d7fb7511",
}  # fmt: skip
SPECS = {"asked": ASKED, "blind": replace(ASKED, by_own_load=True, relays=6), "probed": PROBED}


@pytest.mark.parametrize(("name", "trouble"), BEFORE)
def test_without_peers_each_decision_is_the_same_byte_for_byte(name: str, trouble: str,
                                                                monkeypatch: pytest.MonkeyPatch) -> None:  # fmt: skip
    found = hashlib.sha256()
    step: Callable[..., Any] = Reducer.step

    def hashed(self: Reducer, now: float, event: Any) -> Any:
        effects = step(self, now, event)
        found.update(repr(effects).encode())
        return effects

    monkeypatch.setattr(Reducer, "step", hashed)
    spec: FleetSpec = SPECS[name]
    fleet = Fleet(spec, 5)
    fleet.fill(2.0)
    fleet.run(4.0)
    TROUBLES[trouble](fleet)
    assert found.hexdigest()[:16] == BEFORE[name, trouble]
