"""What a set-up and a relayed line cost a relay in processor time, for checkouts side by side.

`python -m benchmarks.relay_cost [ROOT ...] [--rounds N] [--setups N] [--lines N] [--json]`: each round starts a relay
of each checkout in turn, every other round in the opposite order, and plays the same load. The figures are the least of
all rounds (what is over it is other work on the machine), with ratios against the first root; then the median of the
ratios within each round, with their quartiles.
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

HERE = Path(__file__).resolve().parents[1]
SIDE_BY_SIDE = 20
BACKENDS = 4
MAX_STARTS = 100


class Backend(asyncio.Protocol):
    """Serves at once, and brings each line back."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.up = False

    def data_received(self, data: bytes) -> None:
        if not self.up:
            self.up = True
            data = b"UP r1\r\n"
        self.transport.write(data)  # type: ignore[attr-defined]


def cpu_s(pid: int) -> float:
    """User and system time of a process so far; the finest that is told: nanoseconds on the processor."""
    with Path(f"/proc/{pid}/schedstat").open(encoding="ascii") as file:
        return int(file.read().split()[0]) / 1e9


async def setups(port: int, count: int, first: int) -> None:
    for number in range(first, first + count):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"OPEN {number:016x} 7f3a9c21e0b4d655 c=chat,t=acme,d=1500\r\n".encode())
        assert (await reader.readline()).startswith(b"UP")
        writer.close()


async def lines(port: int, count: int, number: int) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"OPEN {number:016x} 7f3a9c21e0b4d655 c=chat,t=acme,d=1500\r\n".encode())
    await reader.readline()
    for _ in range(count):
        writer.write(b"a line of some length, as terminals send it\r\n")
        await reader.readline()
    writer.close()


async def play(root: Path, made: int, said: int) -> tuple[float, float]:
    """Microseconds of the relay's processor time for a set-up, and for a line there and back."""
    loop = asyncio.get_running_loop()
    backends = [await loop.create_server(Backend, "127.0.0.1", 0) for _ in range(BACKENDS)]
    listen = await loop.create_server(Backend, "127.0.0.1", 0)
    port = listen.sockets[0].getsockname()[1]
    listen.close()
    members = [
        {"id": f"s-{n}", "host_port": f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "phase": "ready"}
        for n, server in enumerate(backends)
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
        "known": {"revision": 1, "members": members},
    }
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "config.json"
        file.write_text(json.dumps(config))
        env = os.environ | {"ROUTER_CONFIG": str(file), "YARROWSPINDLE_OPERATOR": ""}
        relay = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "yarrowspindle", cwd=root, env=env, stderr=asyncio.subprocess.DEVNULL
        )
        try:
            return await measured(relay.pid, port, made, said)
        finally:
            relay.kill()
            await relay.wait()
            for server in backends:
                server.close()


async def measured(pid: int, port: int, made: int, said: int) -> tuple[float, float]:
    """As `play` returns it, of a relay that is about to serve."""
    for _ in range(MAX_STARTS):
        try:
            await setups(port, 20, 1)
            break
        except (OSError, AssertionError):
            await asyncio.sleep(0.05)
    each = made // SIDE_BY_SIDE
    began = cpu_s(pid)
    await asyncio.gather(*(setups(port, each, 1_000_000 * (n + 1)) for n in range(SIDE_BY_SIDE)))
    between = cpu_s(pid)
    await asyncio.gather(*(lines(port, said // SIDE_BY_SIDE, (1 << 50) + n) for n in range(SIDE_BY_SIDE)))
    ended = cpu_s(pid)
    return 1e6 * (between - began) / (each * SIDE_BY_SIDE), 1e6 * (ended - between) / said


def spread(rows: list[tuple[float, float]], first: list[tuple[float, float]], figure: int) -> list[float]:
    """Lower quartile, median and upper quartile of a figure's ratios, round by round."""
    ratios = [row[figure] / base[figure] for row, base in zip(rows, first, strict=True)]
    return [round(float(value), 4) for value in (quantiles(ratios, n=4) if len(ratios) > 1 else 3 * ratios)]


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.relay_cost", description=__doc__)
    parser.add_argument("roots", nargs="*", type=Path, default=[HERE])
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--setups", type=int, default=3000)
    parser.add_argument("--lines", type=int, default=20_000)
    parser.add_argument("--json", action="store_true", help="the last line is one JSON object")
    given, started = parser.parse_args(), time.perf_counter()
    found: dict[Path, list[tuple[float, float]]] = {root: [] for root in given.roots}
    for number in range(given.rounds):
        for root in given.roots if number % 2 == 0 else reversed(given.roots):
            found[root].append(uvloop.run(play(root, given.setups, given.lines)))
    least = {root: [min(values) for values in zip(*rows, strict=True)] for root, rows in found.items()}
    first = least[given.roots[0]]
    rows = []
    for root, (setup_us, line_us) in least.items():
        setup_ratio, line_ratio = round(setup_us / first[0], 4), round(line_us / first[1], 4)
        spreads = [spread(found[root], found[given.roots[0]], figure) for figure in range(2)]
        row = {"root": str(root), "setup_us": round(setup_us, 1), "line_us": round(line_us, 2)}
        rows.append(row | {"setup_ratio": setup_ratio, "line_ratio": line_ratio, "spreads": spreads})
        setup, line = f"{setup_us:.1f} us a set-up", f"{line_us:.2f} us a line there and back"
        print(f"{root}: {setup} ({setup_ratio:.3f}), {line} ({line_ratio:.3f})")
        for name, (low, middle, high) in zip(("set-up", "line"), spreads, strict=True):
            print(f"    {name}, ratio within a round: {middle:.3f} ({low:.3f} to {high:.3f})")
    if given.json:
        print(
            json.dumps(
                {"rounds": given.rounds, "rows": rows, "took_s": round(time.perf_counter() - started, 1)}
                | machine_size()
            )
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
