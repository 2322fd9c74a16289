"""Relays without peers and shared configuration decide as they did before these features existed.

The effects of whole runs of the simulation model are hashed and compared with recorded hashes. Without its section in
the operator's file, no module of the shared configuration is loaded.
"""

from __future__ import annotations

import hashlib
import re
import subprocess
import sys
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from tests.forms.recorded_names import recorded_repr
from tests.stand_ins import ROOT
from yarrowspindle.lab.model import Fleet, FleetSpec
from yarrowspindle.lab.model.deployments import ASKED, PROBED, SCENARIOS
from yarrowspindle.routing.effects import CancelHealthCheck
from yarrowspindle.routing.reducer import Reducer

# Hashes of all effects of all relays, in order, by deployment and fault. Recorded at 694cc79, the build before peers
# were added; those of "asked" were recorded again when random draws became seeded by the group, which changes the draws
# of each relay with or without peers.
EXPECTED_HASHES = {
    ("asked", "vanish"): "713642e8e226a0e3",
    ("asked", "drain"): "0452b6e96dcfe9a7",
    ("blind", "vanish"): "c30c51b3bb9ce26b",
    ("blind", "drain"): "7475097a07466f54",
    ("probed", "vanish"): "b5a5742086a819ed",
    ("probed", "drain"): "f4b27eb8d7fb7511",
}
# Hashes of the same effects, including the reasons of answers, migrations and aborted attempts, and cancelled health
# checks.
EXPECTED_HASHES_WITH_REASONS = {
    ("asked", "vanish"): "2589e88338af9740",
    ("asked", "drain"): "bffbd6c1aa22662c",
    ("blind", "vanish"): "ec711391906996c3",
    ("blind", "drain"): "8d31ca068c682d85",
    ("probed", "vanish"): "e5196d9ad309e8e4",
    ("probed", "drain"): "a5d2a117e20104dd",
}
REASON = re.compile(r", why=(None|<[^>]*>)")
SPECS = {"asked": ASKED, "blind": replace(ASKED, uses_own_load=True, relays=6), "probed": PROBED}


@pytest.mark.parametrize(("name", "scenario"), EXPECTED_HASHES)
def test_without_peers_each_decision_is_the_same_byte_for_byte(
    name: str, scenario: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    effects_hash, reasons_hash = hashlib.sha256(), hashlib.sha256()
    step: Callable[..., Any] = Reducer.step

    def step_with_hash(self: Reducer, now: float, event: Any) -> Any:
        effects = step(self, now, event)
        effects_hash.update(
            REASON.sub("", recorded_repr([e for e in effects if not isinstance(e, CancelHealthCheck)])).encode()
        )
        reasons_hash.update(recorded_repr(effects).encode())
        return effects

    monkeypatch.setattr(Reducer, "step", step_with_hash)
    spec: FleetSpec = SPECS[name]
    fleet = Fleet(spec, 5)
    fleet.fill(2.0)
    fleet.run(4.0)
    SCENARIOS[scenario](fleet)
    assert effects_hash.hexdigest()[:16] == EXPECTED_HASHES[name, scenario]
    assert reasons_hash.hexdigest()[:16] == EXPECTED_HASHES_WITH_REASONS[name, scenario]


def test_no_control_module_is_loaded_without_its_section() -> None:
    code = (
        "import sys, yarrowspindle.daemon.main as main, yarrowspindle.fronts.line_front; "
        "main.load_operator_config({'YARROWSPINDLE_OPERATOR': 'deploy/rebalance.toml'}); "
        "words = ('configuration', 'controller', 'shared_settings', 'yarrowspindle.storage'); "
        "print([m for m in sys.modules if any(w in m for w in words) or m in ('msgspec', 'click')])"
    )
    result = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert result.stdout.strip() == "[]"
