"""The type of a socket address: host and port."""

from __future__ import annotations

Address = tuple[str, int]
