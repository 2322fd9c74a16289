"""Parallel test processes allocate their ports from disjoint ranges."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

from tests.ports import FIRST_PORT, MAX_PROCESSES, PORTS_PER_PROCESS, free_port
from tests.stand_ins import ROOT


def test_no_two_processes_draw_the_same_port_nor_one_that_the_system_gives_out() -> None:
    own_ports = {free_port() for _ in range(500)}
    code = "from tests.ports import free_port; print(*(free_port() for _ in range(500)))"
    result = subprocess.run([sys.executable, "-B", "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    other_ports = {int(port) for port in result.stdout.split()}
    assert len(other_ports) > 300 and len(own_ports) > 300 and not other_ports & own_ports
    with Path("/proc/sys/net/ipv4/ip_local_port_range").open(encoding="ascii") as table:
        first_ephemeral_port = int(table.read().split()[0])
    assert (
        min(other_ports | own_ports) >= FIRST_PORT
        and max(other_ports | own_ports) < FIRST_PORT + PORTS_PER_PROCESS * MAX_PROCESSES <= first_ephemeral_port
    )


def test_a_port_that_is_taken_is_passed_over() -> None:
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=socket_type) as bound_socket:
            port = free_port()
            bound_socket.bind(("127.0.0.1", port))
            assert port not in {free_port() for _ in range(PORTS_PER_PROCESS)}
