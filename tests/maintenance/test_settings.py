"""Settings of maintenance, and requests as operators write them."""

from __future__ import annotations

from pathlib import Path

import pytest

from yarrowspindle.daemon.config import ConfigError
from yarrowspindle.daemon.operator_config import read_operator_config
from yarrowspindle.maintenance.requests import MaintenanceError
from yarrowspindle.maintenance.settings import RequestSettings, read_request_settings

PEERS = '[peers]\nlisten = "127.0.0.1:7946"\n'


TURNS = PEERS + '[turns]\ndirectory = "/tmp/x"\nvoters = ["r0"]\n'


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ('[turns]\ndirectory = "x"\nvoters = ["r0"]\n', "needs \\[peers\\]"),
        (PEERS + '[turns]\nvoters = ["r0"]\n', "turns.directory is missing"),
        (PEERS + '[turns]\ndirectory = "x"\n', "turns.voters must name"),
        (TURNS + "move_per_s = 3\n", "unknown key turns.move_per_s; did you mean moves_per_s"),
        (TURNS + "pressure = 7\n", "turns.pressure is 7"),
        (TURNS + 'command = "10.0.0.1:80"\n', "expected a loopback address"),
        (TURNS + 'command = "here"\n', "turns.command is 'here'"),
        (TURNS + '[[turns.request]]\nmachines = ["a"]\nzone = "b"\n', "either machines, or a zone, or a kind"),
        (TURNS + '[[turns.request]]\nmachines = ["a"]\nmost = "2"\n', "turns.request.most is '2'"),
        (TURNS + '[[turns.request]]\nzone = "a"\norder = "any"\n', "order is 'any'"),
    ],
)
def test_an_error_names_the_wrong_key(text: str, reason: str) -> None:
    with pytest.raises(ConfigError, match=reason):
        read_operator_config(text)


def test_the_example_file_is_read() -> None:
    settings = read_operator_config((Path(__file__).parents[2] / "deploy/turns.toml").read_text()).turns
    assert settings is not None and settings.voters == ("n0", "n1", "n2")


def test_zone_by_zone_sorts_and_invalid_values_are_rejected() -> None:
    request = RequestSettings(("b1", "a1", "b2", "a2"), order="zones").request(
        ("b1", "a1", "b2", "a2"), {"b1": 1, "b2": 1}
    )
    assert request.backends == ("a1", "a2", "b1", "b2")
    for invalid in (
        {"machines": ["a"], "most": 0},
        {"machines": "a"},
        {"machines": ["a"], "floor": float("nan")},
        {},
        {"machines": ["a"], "deadline_s": True},
    ):
        with pytest.raises(MaintenanceError):
            read_request_settings(invalid)
