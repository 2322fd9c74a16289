"""The README's example runs unchanged, and the API reference matches the doc comments."""

from __future__ import annotations

import re
from pathlib import Path

from tests.stand_ins import ROOT
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


def test_the_page_on_crossing_events_names_only_files_that_exist() -> None:
    """Guard against a page that leads on-call staff to modules and tests that were renamed."""
    page = (ROOT / "docs" / "design" / "crossings.md").read_text(encoding="utf-8")
    named = {Path(name).name for name in re.findall(r"`([a-z_/]+\.py)`", page)}
    existing = {path.name for folder in ("yarrowspindle", "tests") for path in (ROOT / folder).rglob("*.py")}
    assert named - existing == set()
