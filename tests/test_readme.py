"""The README's example runs unchanged, and the API reference matches the doc comments."""

from __future__ import annotations

import re
from pathlib import Path

from tools import api_reference

README = Path(__file__).resolve().parent.parent / "README.md"


def test_the_example_runs() -> None:
    (example,) = re.findall(r"```python\n(.*?)```", README.read_text(encoding="utf-8"), re.S)
    scope: dict[str, object] = {}
    exec(example, scope)
    assert "send" in scope


def test_the_api_reference_is_as_the_docstrings_are() -> None:
    assert api_reference.PAGE.read_text(encoding="utf-8") == api_reference.page(), (
        "the API reference is out of date: run python -m tools.api_reference"
    )
