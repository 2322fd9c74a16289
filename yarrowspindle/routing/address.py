"""The address of a socket: host and port."""

from __future__ import annotations

Address = tuple[str, int]
