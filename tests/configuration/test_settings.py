"""The section `[control]` of the operators' settings: invalid keys, a missing package and the example file."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

from tests.stand_ins import ROOT
from yarrowspindle.daemon.config import ConfigError
from yarrowspindle.daemon.operator_config import OperatorConfig, load_operator_config, read_operator_config


def test_an_invalid_section_raises_with_its_key(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    machine = '[[control.machine]]\nname = "c0"\naddress = "127.0.0.1:7"\nvoter = true\n'
    with pytest.raises(ConfigError, match=r"unknown key control\.rol; did you mean role\?"):
        read_operator_config(f'[control]\nrol = "relay"\n{machine}')
    (tmp_path / "o.toml").write_text(f'[control]\nrole = "relay"\nlisten = "127.0.0.1:8"\n{machine}')
    operator = load_operator_config({"YARROWSPINDLE_OPERATOR": str(tmp_path / "o.toml")})
    assert operator.control is not None and operator.control.voters == ("c0",) and OperatorConfig().control is None
    monkeypatch.setitem(sys.modules, "msgspec", None)
    for name in [name for name in sys.modules if name.startswith("yarrowspindle.configuration")]:
        monkeypatch.delitem(sys.modules, name)
    with pytest.raises(ConfigError, match=r"needs requirements-turns\.txt"):
        load_operator_config({"YARROWSPINDLE_OPERATOR": str(tmp_path / "o.toml")})


def test_the_example_of_each_role_is_valid() -> None:
    example = (ROOT / "deploy" / "control.toml").read_text()
    control = read_operator_config(example).control
    assert control is not None and control.role == "relay" and len(control.voters) == 3
