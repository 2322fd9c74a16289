"""The layers of `docs/architecture.md`: a package imports only from packages of lower layers."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.stand_ins import ROOT

PRODUCT = ROOT / "yarrowspindle"

# From the highest layer to the lowest. Packages of the same layer do not import one another.
LAYERS = (
    ("__main__",),
    ("commands", "replay"),
    ("lab",),
    ("middleware",),
    ("daemon",),
    ("library", "fronts", "simulator"),
    ("runtime", "operator_api"),
    ("telemetry",),
    ("transport",),
    ("configuration", "maintenance"),
    ("membership", "rebalancing", "subsets"),
    ("storage",),
    ("consensus",),
    ("protocol",),
    ("routing",),
    ("decisions",),
)
RANKS = {package: rank for rank, layer in enumerate(LAYERS) for package in layer}


def package_of(path: Path) -> str:
    """Return the top-level package, or the top-level module, to which a file belongs."""
    return path.relative_to(PRODUCT).parts[0].removesuffix(".py")


def imported_modules(tree: ast.Module) -> Iterator[str]:
    """Yield the modules imported at module level: not those in functions, nor those under `if TYPE_CHECKING`."""
    for node in tree.body:
        if isinstance(node, ast.ImportFrom) and node.module is not None:
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def imported_packages(path: Path) -> set[str]:
    """Return the packages of yarrowspindle from which a file imports at module level."""
    parts = (module.split(".") for module in imported_modules(ast.parse(path.read_text(encoding="utf-8"))))
    return {part[1] for part in parts if part[0] == "yarrowspindle" and len(part) > 1}


def modules() -> list[Path]:
    """Return the product's files but `__init__.py` and the deprecated `interface.py`, which belong to no layer."""
    paths = sorted(PRODUCT.rglob("*.py"))
    return [path for path in paths if path not in (PRODUCT / "__init__.py", PRODUCT / "interface.py")]


def test_each_package_has_its_place() -> None:
    assert {package_of(path) for path in modules()} == RANKS.keys()


@pytest.mark.parametrize("path", modules(), ids=lambda path: str(path.relative_to(PRODUCT)))
def test_imports_run_down_only(path: Path) -> None:
    package = package_of(path)
    upward_imports = {other for other in imported_packages(path) if other != package and RANKS[other] <= RANKS[package]}
    assert not upward_imports, f"{package} imports from {sorted(upward_imports)}"
