"""Cost of lines on a real relay: memory and processor time per connection, set-up and line, and delays of lines.

    python -m benchmarks.capacity.data_path [--seed N] [--size small|machine|large] [--json] [--line BYTES]

The relay is the daemon in a process of its own. Stand-ins for backends and clients run in other processes, all on
loopback. Afterwards a plain TCP splicer takes the relay's place, with the same stand-ins. Costs are processor time of
the proxy's process alone, which is the relay or the splicer. Lines go from backends to clients unless noted otherwise.
"""

from __future__ import annotations

import ctypes
import json
import os
import resource
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from types import FrameType
from typing import Any

from benchmarks.common import argument_parser, print_result
from yarrowspindle.lab.processes.run import SETTINGS

ROOT = Path(__file__).resolve().parents[2]
BACKENDS = 64
SETUP_CONCURRENCY = 32
GROUP_SIZE = 1400
TARGET_LINES_PER_S, TARGET_CONNECTIONS = 27_500.0, 63_300
CONNECTION_LIFETIMES = (("30 s", 30.0), ("10 min", 600.0), ("3 h", 10_800.0))
MAX_P99_MS = 350.0  # a rate is sustained if the 99th percentile of the delays is within this ...
MAX_QUEUE_MS = 50.0  # ... and the median of its last quarter within this, so that no queue grows
MAX_CORE_SHARE = 0.9  # a stand-in that uses more, or sends later than the lag below, is the bottleneck
MAX_SEND_LAG_MS = 50.0
MAX_WAIT_SHARE = 0.2  # of the time spent waiting for a core; beyond it the machine is measured and not the relay
MAX_DRAIN_S = 30.0  # after the last line was sent
TIMEOUT_MS = 8000.0
MAX_REPEATS = 2  # of a measurement that was disturbed
SPARE_DESCRIPTORS = 200  # descriptors that the relay needs for other uses than connections
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PR_SET_PDEATHSIG = 1


@dataclass(frozen=True)
class Plan:
    """Sizes of a run: established connections at the measured points, lines per second there, and durations."""

    connections: tuple[int, ...]
    rates: tuple[float, ...]
    idle_s: float
    window_s: float
    search_steps: int  # of the search for the highest rate
    search_step_s: float
    confirm_s: float  # duration of the run that confirms the rate found
    bursts: int


PLANS = {
    "small": Plan((250, 1000), (1000.0, 4000.0), 0.25, 0.3, 2, 0.6, 0.0, 1),
    "machine": Plan((1000, 5000, 20_000), (2000.0, 5000.0, 10_000.0), 5.0, 3.0, 8, 4.0, 10.0, 4),
}


class Process:
    """A child process that is killed when this process ends; commands and answers are JSON lines."""

    def __init__(self, name: str, arguments: Sequence[str], log: Path, **environment: str) -> None:
        def prepare_child() -> None:
            ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
            os.sched_setaffinity(0, cpus)

        cpus = shared_cores()
        self.name, self.log = name, log
        with log.open("wb") as log_file:
            self.child = subprocess.Popen(
                [sys.executable, "-B", "-m", *arguments],
                cwd=ROOT,
                env=os.environ | environment,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log_file,
                bufsize=0,
                preexec_fn=prepare_child,  # noqa: PLW1509  # no other thread runs yet
            )

    def send_command(self, command: dict[str, Any]) -> None:
        assert self.child.stdin is not None
        self.child.stdin.write(json.dumps(command).encode() + b"\n")

    def request(self, do: str, within_s: float = 60.0, **command: Any) -> dict[str, Any]:
        """Send a command and return its answer.

        Raises:
            TimeoutError: There is no answer within `within_s`.
            RuntimeError: The process has ended.
        """
        self.send_command({"do": do} | command)
        return self.receive_answer(within_s)

    def receive_answer(self, within_s: float) -> dict[str, Any]:
        assert self.child.stdout is not None
        if not select.select([self.child.stdout], [], [], within_s)[0]:
            raise TimeoutError(f"{self.name} did not answer within {within_s:g} s")
        line = b""
        while not line.endswith(b"\n"):
            if not (chunk := self.child.stdout.readline()):
                raise RuntimeError(f"{self.name} has ended: {self.log.read_text()[-2000:]}")
            line += chunk
        answer: dict[str, Any] = json.loads(line)
        return answer

    def cpu_s(self) -> tuple[float, float]:
        """Return the seconds of processor time, and of waiting for a core, of the process so far.

        The source is the scheduler's statistics in nanoseconds if the kernel has them, else clock ticks and no wait.
        """
        threads = [path.read_text().split() for path in Path(f"/proc/{self.child.pid}/task").glob("*/schedstat")]
        if threads:
            return sum(int(thread[0]) for thread in threads) / 1e9, sum(int(thread[1]) for thread in threads) / 1e9
        fields = Path(f"/proc/{self.child.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S, 0.0

    def memory_kb(self, kind: str = "Pss") -> int:
        """Return Pss or Rss in kB; neither includes socket buffers of the kernel."""
        lines = Path(f"/proc/{self.child.pid}/smaps_rollup").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith(f"{kind}:"))

    def kill(self) -> None:
        self.child.kill()
        self.child.wait()


@dataclass
class Window:
    """Use of processor time in a measured period, as shares of a core."""

    seconds: float
    proxy: float  # the relay, or the splicer
    backends: float
    clients: float
    proxy_wait_share: float  # waiting for its core
    stand_in_wait_share: float  # of the stand-in that waits longest


@dataclass
class Row:
    name: str
    connections: int
    target_rate: float  # lines a second
    rate: float  # as the lines were sent
    window: Window
    sent: dict[str, Any]
    delays: dict[str, Any]

    @property
    def disturbed(self) -> bool:
        """Whether lines may be late for another cause than the relay: a stand-in, or other processes on the cores."""
        window = self.window
        return (
            max(window.backends, window.clients) > MAX_CORE_SHARE
            or max(window.proxy_wait_share, window.stand_in_wait_share) > MAX_WAIT_SHARE
            or (self.sent["lag_ms"] > MAX_SEND_LAG_MS)
        )

    @property
    def sustained(self) -> bool:
        """Whether lines left at the target rate, their 99th percentile was within the limit, and no queue grew."""
        delays, on_time = self.delays, self.rate >= 0.97 * self.target_rate
        return bool(
            on_time
            and max(delays["p99_ms"], delays["tail_p99_ms"]) <= MAX_P99_MS
            and delays["tail_p50_ms"] <= MAX_QUEUE_MS
        )

    def __str__(self) -> str:
        window, delays = self.window, self.delays
        return (
            f"  {self.name:14} {self.connections:6} {self.rate:8,.0f} {100 * window.proxy:6.1f} "
            f"{100 * window.backends:6.1f} {100 * window.clients:6.1f} {100 * window.proxy_wait_share:6.1f} "
            f"{100 * window.stand_in_wait_share:6.1f} "
            f"{os.getloadavg()[0]:5.1f} {self.sent['lag_ms']:7.1f} "
            f"{delays['p50_ms']:7.1f} {delays['p99_ms']:8.1f} {delays['tail_p50_ms']:8.1f}"
            + " disturbed"
            * self.disturbed
        )


TABLE_HEADER = (
    "  row             conns  lines/s  hop %  bck %  cli % hopw % stiw %  load  lag ms  p50 ms   p99 ms  tail ms"
)


@dataclass
class Measurements:
    """Results by number of established connections; times are microseconds of the proxy's process."""

    connections: list[int] = field(default_factory=list)
    pss_kb: list[int] = field(default_factory=list)
    rss_kb: list[int] = field(default_factory=list)
    idle_us_per_s: list[float] = field(default_factory=list)  # of all connections, per second
    us_setup: list[float] = field(default_factory=list)
    us_line: list[float] = field(default_factory=list)
    rows: list[Row] = field(default_factory=list)  # at the last number of connections
    us_close: float = 0.0
    us_echo: float = 0.0


def slope(xs: Sequence[float], ys: Sequence[float]) -> float:
    """Return the slope of the least-squares line."""
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    return sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / sum((x - mean_x) ** 2 for x in xs)


class Benchmark:
    def __init__(self, plan: Plan, failures: list[str], backends: Process, clients: Process) -> None:
        self.plan, self.failures, self.backends, self.clients = plan, failures, backends, clients
        self.proxy = backends  # the process whose cost is measured
        self.standing = 0

    def measure_window(self, work: Callable[[], dict[str, Any]]) -> tuple[Window, dict[str, Any]]:
        """Do some work; return the use of processor time meanwhile, and the result of the work."""
        parties = (self.proxy, self.backends, self.clients)
        started_s, before = time.perf_counter(), [process.cpu_s() for process in parties]
        result = work()
        after, elapsed_s = [process.cpu_s() for process in parties], time.perf_counter() - started_s
        core_shares = [(end[0] - start[0]) / elapsed_s for start, end in zip(before, after, strict=True)]
        wait_shares = [(end[1] - start[1]) / elapsed_s for start, end in zip(before, after, strict=True)]
        return Window(
            elapsed_s, core_shares[0], core_shares[1], core_shares[2], wait_shares[0], max(wait_shares[1:])
        ), result

    def measure_idle(self, seconds: float) -> Window:
        def sleep() -> dict[str, Any]:
            time.sleep(seconds)
            return {}

        return self.measure_window(sleep)[0]

    def send_lines(
        self, name: str, rate: float, seconds: float, burst_times_s: Sequence[float] = (), echo: bool = False
    ) -> Row:
        """Send lines at a rate and wait for the last one; each has to arrive, and unchanged in length."""
        before = self.clients.request("begin")
        sender = self.clients if echo else self.backends
        window, sent = self.measure_window(
            lambda: sender.request(
                "send", rate=rate, seconds=seconds, bursts=list(burst_times_s), within_s=4 * seconds + 20
            )
        )
        deadline_s, expected = (
            time.monotonic() + MAX_DRAIN_S,
            sent["sent"] - sent["missed"] + len(burst_times_s) * sent["burst_size"],
        )
        while (status := self.clients.request("standing"))["received"] < expected and time.monotonic() < deadline_s:
            time.sleep(0.1)
        row = Row(
            name, self.standing, rate, sent["sent"] / sent["took_s"], window, sent, self.clients.request("delays")
        )
        print(row, flush=True)
        faults = status["broken"] - before["broken"], status["bad"] - before["bad"], sent["missed"]
        if status["received"] != expected or any(faults):
            self.failures.append(
                f"{name}, {self.standing} connections, {rate:,.0f} lines/s: {status['received']} of {expected} lines "
                f"received; {faults[0]} connections lost, {faults[1]} lines of a wrong length, {faults[2]} not sent"
            )
        return row

    def open_connections(self, count: int, address: Sequence[Any]) -> float:
        """Open connections until `count` are established; return the proxy's processor time in us for each."""
        new, before = count - self.standing, self.clients.request("standing")
        window, status = self.measure_window(
            lambda: self.clients.request(
                "open", count=new, host=address[0], port=address[1], at_once=SETUP_CONCURRENCY, within_s=90.0
            )
        )
        us_each = window.proxy * window.seconds / new * 1e6
        lost = status["broken"] - before["broken"]
        print(
            f"  {self.proxy.name} set-ups to {count}: {us_each:.0f} us each, {new / window.seconds:,.0f} a second, "
            f"UP within {status['p99_ms']:.1f} ms (99 %), {SETUP_CONCURRENCY} at once; {self.shares(window)}",
            flush=True,
        )
        if status["standing"] != count or status["failed"] or lost:
            self.failures.append(
                f"{self.proxy.name} set-ups to {count}: {status['standing']} established, {status['failed']} "
                f"failed, {lost} lost; {self.shares(window)}"
            )
        self.standing = status["standing"]
        return us_each

    def shares(self, window: Window) -> str:
        return (
            f"proxy {100 * window.proxy:.0f} %, backends {100 * window.backends:.0f} %, clients "
            f"{100 * window.clients:.0f} %; waits: proxy {100 * window.proxy_wait_share:.0f} %, stand-ins "
            f"{100 * window.stand_in_wait_share:.0f} %; load {os.getloadavg()[0]:.1f}"
        )

    def measure_points(self, address: Sequence[Any], counts: Sequence[int], rates: Sequence[float]) -> Measurements:
        """Measure memory, the idle cost and the cost of lines at each number of established connections."""
        measurements = Measurements()
        print(TABLE_HEADER)
        for count in counts:
            measurements.us_setup.append(self.open_connections(count, address))
            time.sleep(min(1.0, self.plan.idle_s))  # until work that follows the set-ups has ended
            window = self.measure_idle(self.plan.idle_s)
            measurements.connections.append(count)
            measurements.pss_kb.append(self.proxy.memory_kb())
            measurements.rss_kb.append(self.proxy.memory_kb("Rss"))
            measurements.idle_us_per_s.append(window.proxy * 1e6)
            print(
                f"  {self.proxy.name} {count} idle: {window.proxy * 1e6:.0f} us a second, "
                f"PSS {measurements.pss_kb[-1]} kB, RSS {measurements.rss_kb[-1]} kB; {self.shares(window)}",
                flush=True,
            )
            rows = [self.send_lines(f"{self.proxy.name} rate", rate, self.plan.window_s) for rate in rates]
            measurements.us_line.append(slope([row.rate for row in rows], [row.window.proxy * 1e6 for row in rows]))
            measurements.rows = rows
        row = self.send_lines(f"{self.proxy.name} echo", rates[0], self.plan.window_s, echo=True)
        measurements.us_echo = (row.window.proxy * 1e6 - measurements.idle_us_per_s[-1]) / row.rate
        return measurements

    def find_highest_rate(self, rows: list[Row]) -> tuple[Row | None, Row | None]:
        """Search for the highest sustained rate, from the target rate up or down and then by bisection.

        A measurement that was disturbed is repeated.

        Returns:
            The row of the highest sustained rate, and that of the lowest rate above it that is not sustained.
        """
        low, high, rate = 0.0, 0.0, TARGET_LINES_PER_S
        for _ in range(self.plan.search_steps):
            row = self.send_lines("search", rate, self.plan.search_step_s)
            rows.append(row)
            if row.sustained:
                low = rate
            elif (
                row.disturbed
                and sum(earlier.name == "search" and earlier.target_rate == rate for earlier in rows) <= MAX_REPEATS
            ):
                continue
            else:
                high = rate
            if high and low and high / low < 1.06:
                break
            rate = (low + high) / 2.0 if low and high else rate * (1.25 if row.sustained else 0.75)
        sustained_rates = sorted({row.target_rate for row in rows if row.sustained}, reverse=True)
        best: Row | None = None
        for target_rate in sustained_rates[:3] if self.plan.confirm_s else ():
            for _ in range(1 + MAX_REPEATS):
                rows.append(self.send_lines("held longer", target_rate, self.plan.confirm_s))
                if rows[-1].sustained:
                    best = rows[-1]
                if best or not rows[-1].disturbed:
                    break
            if best:
                break
        best = best or max((row for row in rows if row.sustained), key=lambda row: row.rate, default=None)
        above = [row for row in rows if not row.sustained and row.target_rate > (best.target_rate if best else 0.0)]
        return best, min(above, key=lambda row: (row.target_rate, row.disturbed), default=None)

    def send_bursts(self, rate: float, name: str) -> tuple[Row, list[dict[str, Any]]]:
        burst_times_s = [0.3 + 1.5 * n for n in range(self.plan.bursts)]
        row = self.send_lines(name, rate, burst_times_s[-1] + 1.1, burst_times_s)
        results: list[dict[str, Any]] = row.delays["bursts"]
        for number, burst in enumerate(results):
            print(
                f"    burst {number}: the last of {burst['count']} lines after {burst['last_ms']:.1f} ms; p99 of the "
                f"other lines of that second {burst['others_p99_ms']:.1f} ms"
            )
        if len(results) != len(burst_times_s) or any(burst["count"] != row.sent["burst_size"] for burst in results):
            self.failures.append(f"{name}, {row.rate:,.0f} lines/s: a burst did not reach all of its group")
        return row, results

    def close_connections(self) -> float:
        """Close all connections; return the proxy's processor time for each in microseconds."""

        def close() -> dict[str, Any]:
            self.clients.request("close")
            deadline_s = time.monotonic() + 15.0
            while any(party.request("standing")["standing"] for party in (self.clients, self.backends)):
                if time.monotonic() > deadline_s:
                    self.failures.append(f"{self.proxy.name} ends: connections are still established after 15 s")
                    break
                time.sleep(0.05)
            time.sleep(0.7)  # the relay waits half a second for data of its clients and backends
            return {}

        window, _ = self.measure_window(close)
        count, self.standing = self.standing, 0
        us_each = window.proxy * window.seconds / count * 1e6
        print(f"  {self.proxy.name} ends of {count}: {us_each:.0f} us each; {self.shares(window)}", flush=True)
        return us_each


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def start_relay(
    folder: Path, discovery: Sequence[Any], endpoints: dict[str, Any], seed: int
) -> tuple[Process, tuple[str, int]]:
    """Start the daemon as operators start it; return its process and address."""
    address = ("127.0.0.1", free_port())
    settings = SETTINGS | {
        # Long time-outs, so that a stand-in that waits for a core is not taken for a failed backend.
        "categories": [SETTINGS["categories"][0] | {"deadline_ms": TIMEOUT_MS}],
        "limits": SETTINGS["limits"] | {"connect_timeout_ms": TIMEOUT_MS},
        "zone": 0,
        "balancers": 1,
        "slot_no": 0,
        "obligations": {
            "drain_grace_ms": 1000.0,
            "answer_slack_ms": 50.0,
            "ask_within_ms": 200.0,
            "cold_share": 0.31,
            "cold_ms": 3000.0,
            "fall_multiple": 3.0,
            "fall_ms": 1500.0,
        },
    }
    config = {
        "name": "n0",
        "listen": f"{address[0]}:{address[1]}",
        "discovery": f"{discovery[0]}:{discovery[1]}",
        "seed": f"{seed:x}",
        "settings": settings,
        "known": endpoints,
        "limits": {"sockets": 0},
    }
    (folder / "config.json").write_text(json.dumps(config))
    (folder / "operator.toml").write_text("")
    relay = Process(
        "relay",
        ["yarrowspindle"],
        folder / "relay.log",
        ROUTER_CONFIG=str(folder / "config.json"),
        YARROWSPINDLE_OPERATOR=str(folder / "operator.toml"),
        TMPDIR=str(folder),
    )
    return relay, address


def wait_for_relay(relay: Process) -> None:
    deadline_s = time.monotonic() + 15.0
    while "serves at" not in relay.log.read_text():
        if relay.child.poll() is not None or time.monotonic() > deadline_s:
            raise RuntimeError(
                f"the relay has ended or did not serve within 15 s; its log ends: {relay.log.read_text()[-2000:]}"
            )
        time.sleep(0.05)


@contextmanager
def terminable() -> Iterator[None]:
    """Make SIGTERM end the run by an exception, so that its children are ended too."""

    def exit_on_signal(number: int, frame: FrameType | None) -> None:
        raise SystemExit(128 + number)

    previous_handler = signal.signal(signal.SIGTERM, exit_on_signal)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, previous_handler)


def shared_cores() -> set[int]:
    """Return the last four cores that this process may use, which the relay and the stand-ins share."""
    return set(sorted(os.sched_getaffinity(0))[-4:])


def extrapolate(measurements: Measurements, kb: float, us_idle: float, us_line: float) -> dict[str, Any]:
    """Extrapolate to the target size: shares of one core by the lifetime of connections."""
    us_connection = measurements.us_setup[-1] + measurements.us_close
    idle_share, line_share = TARGET_CONNECTIONS * us_idle / 1e6, TARGET_LINES_PER_S * us_line / 1e6
    print(
        f"EXTRAPOLATION, not measured: from {measurements.connections[-1]:,} connections on one relay to "
        f"{TARGET_CONNECTIONS:,}, {TARGET_LINES_PER_S:,.0f} lines/s\n  (set-up and end {us_connection:.0f} us, line "
        f"{us_line:.1f} us, rest {us_idle:.2f} us a connection and second; {TARGET_CONNECTIONS * kb / 1024:.0f} "
        f"MB, {2 * TARGET_CONNECTIONS:,} descriptors)\n  life     set-ups/s  set-ups  lines  rest  share of a core  "
        f"lines/s that one core carries"
    )
    shares, rates = {}, {}
    for label, lifetime_s in CONNECTION_LIFETIMES:
        setups = TARGET_CONNECTIONS / lifetime_s
        setup_share = setups * us_connection / 1e6
        shares[label], rates[label] = (
            round(setup_share + line_share + idle_share, 3),
            round(max(0.0, (1 - setup_share - idle_share) / us_line * 1e6)),
        )
        print(
            f"  {label:8} {setups:9,.1f} {setup_share:8.2f} {line_share:6.2f} {idle_share:5.2f} "
            f"{shares[label]:16.2f} {rates[label]:15,}"
        )
    free_share = 1.0 - line_share - idle_share
    shortest_lifetime_s = round(TARGET_CONNECTIONS * us_connection / 1e6 / free_share, 1) if free_share > 0.0 else None
    print(
        f"  one core carries {TARGET_LINES_PER_S:,.0f} lines/s "
        + (f"if connections live for {shortest_lifetime_s:,} s or longer" if shortest_lifetime_s else "at no lifetime")
    )
    return {
        "extrapolated_core_share": shares,
        "extrapolated_lines_s": rates,
        "extrapolated_shortest_life_s": shortest_lifetime_s,
    }


def run(seed: int, size: str, failures: list[str], line_bytes: int = 100) -> dict[str, Any]:
    """Run the benchmark, print its tables, and append a sentence to `failures` for each rule that does not hold.

    `line_bytes` is the length of a line, CRLF included.
    """
    plan = PLANS.get(size, PLANS["machine"])  # real processes have no larger size than `machine`
    descriptor_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    max_connections = (descriptor_limit - SPARE_DESCRIPTORS) // 2
    counts = tuple(sorted({min(count, max_connections) for count in plan.connections}))
    shortfall = f" instead of {plan.connections[-1]}" if counts[-1] < plan.connections[-1] else ""
    print(
        f"lines of {line_bytes} bytes with CRLF; {BACKENDS} backends; descriptors: {descriptor_limit}, so at "
        f"most {max_connections} connections through one relay{shortfall}"
    )
    group = min(GROUP_SIZE, counts[-1])
    print(
        f"cores {sorted(shared_cores())} for relay or splicer, backends and clients, each of which uses one at a time\n"
        "hop, bck, cli: share of a core of the relay or splicer, the backends and the clients; hopw, stiw: share of\n"
        "the time that the relay or splicer, or a stand-in, waited for a core; lag: 99th percentile of how late lines\n"
        "left; tail: median delay of the last quarter;\n"
        "lines leave in ticks of 1 ms, on the connections in turn; delays count from the time at which a line was due"
    )
    with terminable(), tempfile.TemporaryDirectory(prefix="capacity-") as folder_name, ExitStack() as stack:
        folder = Path(folder_name)

        def register(process: Process) -> Process:
            stack.callback(process.kill)
            return process

        stand_in = "benchmarks.capacity.stand_in"
        backends = register(Process("nodes", [stand_in, "nodes"], folder / "nodes.log"))
        clients = register(Process("submitters", [stand_in, "submitters"], folder / "submitters.log"))
        splicer = register(Process("splicer", [stand_in, "splicer"], folder / "splicer.log"))
        backends.send_command({"seed": seed, "length": line_bytes, "backends": BACKENDS})
        clients.send_command({"seed": seed, "length": line_bytes, "group": group})
        endpoints = backends.request("start")
        relay, address = start_relay(folder, endpoints["discovery"], endpoints["list"], seed)
        register(relay)
        wait_for_relay(relay)
        clients.request("standing")  # wait until it has started too
        bench = Benchmark(plan, failures, backends, clients)
        bench.proxy = relay
        relay_results = bench.measure_points(address, counts, plan.rates)
        rows = relay_results.rows
        best, above = bench.find_highest_rate(rows)
        best_rate = best.target_rate if best else plan.rates[0]
        if best is None:
            failures.append(f"search, {counts[-1]} connections: no rate is sustained with a p99 of {MAX_P99_MS:.0f} ms")
        background_rate = 0.5 * min(best_rate, TARGET_LINES_PER_S)
        burst_row, bursts = bench.send_bursts(background_rate, "burst")
        if any(burst["others_p99_ms"] > MAX_P99_MS for burst in bursts) and not burst_row.disturbed:
            failures.append(f"burst, {burst_row.rate:,.0f} lines/s: p99 of the other lines over {MAX_P99_MS:.0f} ms")
        relay_results.us_close = bench.close_connections()
        relay.child.send_signal(signal.SIGTERM)  # its exit status is checked below
        splicer.send_command({"addresses": endpoints["addresses"]})
        bench.proxy = splicer
        splicer_results = bench.measure_points(splicer.request("start")["address"], counts, plan.rates)
        splicer_row = bench.send_lines("splicer high", best_rate, plan.search_step_s)
        _, splicer_bursts = bench.send_bursts(background_rate, "splicer burst")
        splicer_results.us_close = bench.close_connections()
        try:
            status: int | None = relay.child.wait(10.0)
        except subprocess.TimeoutExpired:
            status = None
        if status != 0 or "Traceback" in relay.log.read_text():
            failures.append(f"relay shutdown: exit status {status}; its log ends {relay.log.read_text()[-300:]!r}")
    return report(
        relay_results, splicer_results, best, above, splicer_row, bursts, splicer_bursts, background_rate, line_bytes
    )


def report(
    relay_results: Measurements,
    splicer_results: Measurements,
    best: Row | None,
    above: Row | None,
    splicer_row: Row,
    bursts: list[dict[str, Any]],
    splicer_bursts: list[dict[str, Any]],
    background_rate: float,
    line_bytes: int,
) -> dict[str, Any]:
    def idle_cost(results: Measurements) -> tuple[float, float]:
        """Return kB per connection, and microseconds per idle connection and second."""
        return slope(results.connections, results.pss_kb), max(0.0, slope(results.connections, results.idle_us_per_s))

    (relay_kb, relay_idle_us), (splicer_kb, splicer_idle_us) = idle_cost(relay_results), idle_cost(splicer_results)
    rows = relay_results.rows
    target_rows = [row for row in rows if row.target_rate == TARGET_LINES_PER_S]
    target_row = next((row for row in target_rows if row.sustained), target_rows[-1])
    bottleneck = "not reached" if above is None else "stand-ins or others" if above.disturbed else "relay"
    # At the highest sustained rate, because a line costs less there than at low rates.
    best_row = best or target_row
    relay_line_us = (
        (best_row.window.proxy * 1e6 - relay_results.idle_us_per_s[-1]) / best_row.rate
        if best
        else relay_results.us_line[-1]
    )
    splicer_line_us = (splicer_row.window.proxy * 1e6 - splicer_results.idle_us_per_s[-1]) / splicer_row.rate
    print("  cost                              relay   splicer   ratio")
    for label, relay_value, splicer_value in [
        ("kB a connection (PSS)", relay_kb, splicer_kb),
        ("us a set-up, most connections", relay_results.us_setup[-1], splicer_results.us_setup[-1]),
        ("us an end", relay_results.us_close, splicer_results.us_close),
        ("us a line, slope, most connections", relay_results.us_line[-1], splicer_results.us_line[-1]),
        ("us a line at the held rate", relay_line_us, splicer_line_us),
        ("us a line and its echo", relay_results.us_echo, splicer_results.us_echo),
        ("us idle, connection and s", relay_idle_us, splicer_idle_us),
        ("p99 ms at the held rate", best_row.delays["p99_ms"], splicer_row.delays["p99_ms"]),
        (
            "last of the burst, worst, ms",
            max((burst["last_ms"] for burst in bursts), default=0.0),
            max((burst["last_ms"] for burst in splicer_bursts), default=0.0),
        ),
    ]:
        print(
            f"  {label:32} {relay_value:7.2f} {splicer_value:9.2f} "
            + (f"{relay_value / splicer_value:7.2f}" if splicer_value > 0.005 else "      -")
        )
    print(
        f"  {TARGET_LINES_PER_S:,.0f} lines/s asked: p99 {target_row.delays['p99_ms']:.0f} ms, "
        + ("held" if target_row.sustained else "not held")
        + "; highest rate held: "
        + (f"{best.rate:,.0f} lines/s, p99 {best.delays['p99_ms']:.0f} ms" if best else "none")
        + f" (bound above it: {bottleneck})"
    )
    return {
        "line_bytes": line_bytes,
        "connections": relay_results.connections,
        "kb_connection": round(relay_kb, 2),
        "pss_kb": relay_results.pss_kb,
        "rss_kb": relay_results.rss_kb,
        "us_line": [round(us, 2) for us in relay_results.us_line],
        "us_line_held": round(relay_line_us, 2),
        "us_setup": [round(us, 1) for us in relay_results.us_setup],
        "us_end": round(relay_results.us_close, 1),
        "us_echo": round(relay_results.us_echo, 1),
        "us_beat": round(relay_idle_us, 3),
        "lines_s": round(best.rate) if best else 0,
        "p99_ms": round(best.delays["p99_ms"], 1) if best else None,
        "bound": bottleneck,
        "asked_held": target_row.sustained,
        "asked_p99_ms": round(target_row.delays["p99_ms"], 1),
        "search": [[round(row.rate), round(row.delays["p99_ms"], 1), row.sustained] for row in rows],
        "burst_ms": [round(burst["last_ms"], 1) for burst in bursts],
        "burst_background_lines_s": round(background_rate),
        "burst_others_p99_ms": [round(burst["others_p99_ms"], 1) for burst in bursts],
        "splicer_us_line": [round(us, 2) for us in splicer_results.us_line],
        "splicer_us_line_held": round(splicer_line_us, 2),
        "splicer_kb_connection": round(splicer_kb, 2),
        "splicer_us_setup": [round(us, 1) for us in splicer_results.us_setup],
        "splicer_p99_ms": round(splicer_row.delays["p99_ms"], 1),
        "splicer_burst_ms": [round(burst["last_ms"], 1) for burst in splicer_bursts],
    } | extrapolate(relay_results, relay_kb, relay_idle_us, relay_line_us)


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argument_parser(
        "Cost of lines, set-ups and idle connections on a real relay, compared with a plain TCP splicer."
    )
    parser.add_argument("--line", type=int, default=100, help="bytes of a line with CRLF, 24 to 4000")
    args = parser.parse_args(arguments)
    if not 24 <= args.line <= 4000:
        parser.error(f"--line is {args.line}: expected 24 to 4000")
    started, failures = time.perf_counter(), list[str]()
    result = run(args.seed, args.size, failures, args.line)
    return print_result(result, failures, started, args.json, args.seed, args.size)


if __name__ == "__main__":
    sys.exit(main())
