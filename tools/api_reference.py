"""Write docs/api.md from the docstrings of the library's public names: `python -m tools.api_reference`."""

from __future__ import annotations

import inspect
import re
import sys
from enum import Enum
from pathlib import Path

from yarrowspindle import library, middleware, replay

PAGE = Path(__file__).resolve().parent.parent / "docs" / "api.md"
MODULES = (library, middleware, replay)


def described(name: str, thing: object) -> list[str]:
    """Return the lines for a class with its own public methods and properties, or for a function.

    Inherited members are left out.
    """
    if inspect.isclass(thing) and issubclass(thing, Enum):
        return [f"### `{name}`", "", *(f"- `{member.name}`: {member.value}" for member in thing), ""]
    lines = [f"### `{name}`", "", inspect.getdoc(thing) or "", ""]
    if not inspect.isclass(thing):
        lines[0] = f"### `{name}{inspect.signature(thing)}`" if callable(thing) else lines[0]
        return lines
    for part, value in sorted(vars(thing).items()):
        if part.startswith("_") or not (inspect.isfunction(value) or isinstance(value, property)):
            continue
        text = inspect.getdoc(value)
        if text:
            call = str(inspect.signature(value)) if inspect.isfunction(value) else ""
            lines += [f"- `{part}{call.replace('(self, ', '(').replace('(self)', '()')}`: {' '.join(text.split())}"]
    return [*lines, ""]


def page() -> str:
    """Return the whole page."""
    lines = ["# API reference", "", "Made from the docstrings by `python -m tools.api_reference`.", ""]
    for module in MODULES:
        lines += [f"## `{module.__name__}`", "", inspect.getdoc(module) or "", ""]
        for name in sorted(module.__all__):
            lines += described(name, getattr(module, name))
    text = re.sub(r"<function (\w+) at 0x[0-9a-f]+>", r"\1", "\n".join(lines))
    return text.rstrip() + "\n"


if __name__ == "__main__":
    PAGE.write_text(page(), encoding="utf-8")
    sys.exit(0)
