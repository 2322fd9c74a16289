"""Runs the case of a folder: `python -m review.common2.launch 6` runs review/6/case.py."""

from __future__ import annotations

import runpy
import sys
from pathlib import Path

if __name__ == "__main__":
    runpy.run_path(str(Path(__file__).resolve().parents[1] / sys.argv[1] / "case.py"), run_name="__main__")
