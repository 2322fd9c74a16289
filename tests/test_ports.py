"""Tests that run side by side draw their ports from shares of their own."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

from tests.ports import FIRST, SHARE, SHARES, free_port
from tests.stand_ins import ROOT


def test_no_two_processes_draw_the_same_port_nor_one_that_the_system_gives_out() -> None:
    ours = {free_port() for _ in range(500)}
    code = "from tests.ports import free_port; print(*(free_port() for _ in range(500)))"
    said = subprocess.run([sys.executable, "-B", "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    theirs = {int(port) for port in said.stdout.split()}
    assert len(theirs) > 300 and len(ours) > 300 and not theirs & ours
    with Path("/proc/sys/net/ipv4/ip_local_port_range").open(encoding="ascii") as table:
        given_out = int(table.read().split()[0])
    assert min(theirs | ours) >= FIRST and max(theirs | ours) < FIRST + SHARE * SHARES <= given_out


def test_a_port_that_is_taken_is_passed_over() -> None:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as taken:
            port = free_port()
            taken.bind(("127.0.0.1", port))
            assert port not in {free_port() for _ in range(SHARE)}
