"""Processor time of a relay for a connection set-up and for a relayed line, with several checkouts compared.

`python -m benchmarks.relay_cost [ROOT ...] [--rounds N] [--setups N] [--lines N] [--json]`: each round starts a relay
of each checkout in turn, every other round in the opposite order, and applies the same load. The figures are the
minimum of all rounds, because other work on the machine only adds to it, with ratios to the first root. Then follow the
medians of the ratios within each round, with their quartiles.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path
from statistics import quantiles

import uvloop

from benchmarks.common import machine_size
from yarrowspindle.lab.processes.run import SETTINGS

ROOT = Path(__file__).resolve().parents[1]
CONCURRENCY = 20
BACKENDS = 4
MAX_START_ATTEMPTS = 100


class EchoBackend(asyncio.Protocol):
    """Accept each request at once, and echo each line."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.established = False

    def data_received(self, data: bytes) -> None:
        if not self.established:
            self.established = True
            data = b"UP r1\r\n"
        self.transport.write(data)  # type: ignore[attr-defined]


def cpu_s(pid: int) -> float:
    """Return the user and system time of a process so far, from the scheduler's count of nanoseconds."""
    with Path(f"/proc/{pid}/schedstat").open(encoding="ascii") as file:
        return int(file.read().split()[0]) / 1e9


async def open_connections(port: int, count: int, first_request_id: int) -> None:
    for request_id in range(first_request_id, first_request_id + count):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"OPEN {request_id:016x} 7f3a9c21e0b4d655 c=chat,t=acme,d=1500\r\n".encode())
        assert (await reader.readline()).startswith(b"UP")
        writer.close()


async def echo_lines(port: int, count: int, request_id: int) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"OPEN {request_id:016x} 7f3a9c21e0b4d655 c=chat,t=acme,d=1500\r\n".encode())
    await reader.readline()
    for _ in range(count):
        writer.write(b"a line of some length, as terminals send it\r\n")
        await reader.readline()
    writer.close()


async def measure_checkout(root: Path, setup_count: int, line_count: int) -> tuple[float, float]:
    """Start a relay of a checkout; return its processor time for a set-up and for an echoed line, in microseconds."""
    loop = asyncio.get_running_loop()
    backends = [await loop.create_server(EchoBackend, "127.0.0.1", 0) for _ in range(BACKENDS)]
    probe = await loop.create_server(EchoBackend, "127.0.0.1", 0)
    port = probe.sockets[0].getsockname()[1]
    probe.close()
    endpoints = [
        {"id": f"s-{index}", "host_port": f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "phase": "ready"}
        for index, server in enumerate(backends)
    ]
    obligations = {
        "drain_grace_ms": 400.0,
        "answer_slack_ms": 8.0,
        "cold_share": 0.3,
        "cold_ms": 9000.0,
        "fall_multiple": 3.0,
        "fall_ms": 1500.0,
    }
    settings = SETTINGS | {"zone": 0, "balancers": 1, "slot_no": 0, "obligations": obligations}
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": "127.0.0.1:9",
        "seed": "1",
        "settings": settings,
        "known": {"revision": 1, "members": endpoints},
    }
    with tempfile.TemporaryDirectory() as folder:
        config_path = Path(folder) / "config.json"
        config_path.write_text(json.dumps(config))
        variables = {"ROUTER_CONFIG": str(config_path), "YARROWSPINDLE_OPERATOR": "", "TMPDIR": folder}
        environment = os.environ | variables
        relay = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "yarrowspindle", cwd=root, env=environment, stderr=asyncio.subprocess.DEVNULL
        )
        try:
            return await measure_running_relay(relay.pid, port, setup_count, line_count)
        finally:
            relay.kill()
            await relay.wait()
            for server in backends:
                server.close()


async def measure_running_relay(pid: int, port: int, setup_count: int, line_count: int) -> tuple[float, float]:
    """Measure a relay that is starting, once it serves; return the same as `measure_checkout`."""
    for _ in range(MAX_START_ATTEMPTS):
        try:
            await open_connections(port, 20, 1)
            break
        except (OSError, AssertionError):
            await asyncio.sleep(0.05)
    setups_per_client = setup_count // CONCURRENCY
    started_s = cpu_s(pid)
    await asyncio.gather(
        *(open_connections(port, setups_per_client, 1_000_000 * (client + 1)) for client in range(CONCURRENCY))
    )
    setups_done_s = cpu_s(pid)
    await asyncio.gather(
        *(echo_lines(port, line_count // CONCURRENCY, (1 << 50) + client) for client in range(CONCURRENCY))
    )
    lines_done_s = cpu_s(pid)
    return 1e6 * (setups_done_s - started_s) / (setups_per_client * CONCURRENCY), 1e6 * (
        lines_done_s - setups_done_s
    ) / line_count


def spread(rows: list[tuple[float, float]], base_rows: list[tuple[float, float]], column: int) -> list[float]:
    """Return the lower quartile, median and upper quartile of a column's ratios, taken within each round."""
    ratios = [row[column] / base_row[column] for row, base_row in zip(rows, base_rows, strict=True)]
    return [round(float(value), 4) for value in (quantiles(ratios, n=4) if len(ratios) > 1 else 3 * ratios)]


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.relay_cost", description=__doc__)
    parser.add_argument("roots", nargs="*", type=Path, default=[ROOT])
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--setups", type=int, default=3000)
    parser.add_argument("--lines", type=int, default=20_000)
    parser.add_argument("--json", action="store_true", help="print the result as one JSON object on the last line")
    args, started_s = parser.parse_args(), time.perf_counter()
    times_by_root: dict[Path, list[tuple[float, float]]] = {root: [] for root in args.roots}
    for round_number in range(args.rounds):
        for root in args.roots if round_number % 2 == 0 else reversed(args.roots):
            times_by_root[root].append(uvloop.run(measure_checkout(root, args.setups, args.lines)))
    minimum = {root: [min(values) for values in zip(*rows, strict=True)] for root, rows in times_by_root.items()}
    base_minimum = minimum[args.roots[0]]
    rows = []
    for root, (setup_us, line_us) in minimum.items():
        setup_ratio, line_ratio = round(setup_us / base_minimum[0], 4), round(line_us / base_minimum[1], 4)
        spreads = [spread(times_by_root[root], times_by_root[args.roots[0]], column) for column in range(2)]
        row = {"root": str(root), "setup_us": round(setup_us, 1), "line_us": round(line_us, 2)}
        rows.append(row | {"setup_ratio": setup_ratio, "line_ratio": line_ratio, "spreads": spreads})
        setup, line = f"{setup_us:.1f} us a set-up", f"{line_us:.2f} us a line with its echo"
        print(f"{root}: {setup} ({setup_ratio:.3f}), {line} ({line_ratio:.3f})")
        for name, (low, median, high) in zip(("set-up", "line"), spreads, strict=True):
            print(f"    {name}, ratio within a round: {median:.3f} ({low:.3f} to {high:.3f})")
    if args.json:
        print(
            json.dumps(
                {"rounds": args.rounds, "rows": rows, "took_s": round(time.perf_counter() - started_s, 1)}
                | machine_size()
            )
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
