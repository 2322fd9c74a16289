"""The membership settings: errors name the invalid key, and the example file is valid."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

from yarrowspindle.membership.settings import PeerError, PeerSettings, read_peers


@pytest.mark.parametrize(
    ("section", "message"),
    [
        ({}, "peers.listen is missing"),
        ({"listen": "here"}, "peers.listen is 'here'"),
        ({"listen": "10.0.0.1:1", "sedes": []}, r"unknown key peers.sedes; did you mean seeds\?"),
        ({"listen": "10.0.0.1:1", "seeds": ["::1:5"]}, "peers.seeds is '::1:5'"),
        ({"listen": "10.0.0.1:1", "seeds": "10.0.0.2:1"}, "a list of addresses"),
        ({"listen": "10.0.0.1:1", "probe_s": 0}, "peers.probe_s is 0; expected a number from 0.05 to 60"),
        ({"listen": "10.0.0.1:1", "signal_s": True}, "peers.signal_s is True"),
        ({"listen": "10.0.0.1:1", "cluster": ""}, "peers.cluster is ''"),
        ({"listen": "10.0.0.1:1", "forget_s": 2.0}, "peers.forget_s must be at least four times"),
        ({"listen": "10.0.0.1:70000"}, "peers.listen is '10.0.0.1:70000'"),
    ],
)
def test_an_invalid_setting_is_reported_with_its_key(section: dict[str, Any], message: str) -> None:
    with pytest.raises(PeerError, match=message.replace("(", r"\(")):
        read_peers(section)


def test_the_example_file_is_read() -> None:
    text = (Path(__file__).resolve().parents[2] / "deploy" / "peers.toml").read_text()
    settings = read_peers(tomllib.loads(text)["peers"])
    assert settings.probe_s == PeerSettings(("10.0.0.1", 7946)).probe_s and len(settings.seeds) == 2
