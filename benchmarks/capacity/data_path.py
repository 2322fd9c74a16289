"""What lines cost on the real relay: memory and processor time by connection, set-up and line, and delays of lines.

    python -m benchmarks.capacity.data_path [--seed N] [--size small|machine|large] [--json] [--line BYTES]

The relay is the program itself in a process of its own; execute nodes and submitters stand in other processes, and all
of it on loopback. A bare splicer takes the relay's place afterwards, with the same stand-ins. Costs are processor time
of the relay's process alone. Lines go from execute nodes to submitters where nothing else is said.
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

from benchmarks.common import finish, options
from yarrowspindle.lab.processes.run import SETTINGS

ROOT = Path(__file__).resolve().parents[2]
BACKENDS = 64
AT_ONCE = 32  # set-ups that are under way together
GROUP = 1400
ASKED_LINES_S, ASKED_CONNECTIONS = 27_500.0, 63_300
LIVES = (("30 s", 30.0), ("10 min", 600.0), ("3 h", 10_800.0))
P99_MS = 350.0  # a rate holds where 99 in 100 lines come within this ...
QUEUE_MS = 50.0  # ... and half of those of its last quarter within this: no queue grows
BUSY = 0.9  # of a core: a stand-in that takes more, or sends so late, is the bottleneck itself
LAG_MS = 50.0
WAITS = 0.2  # of the time: a process that waits longer for its core says more of the machine than of the relay
DRAIN_S = 30.0  # by when the last line has to have come
WAIT_MS = 8000.0
AGAIN = 2  # times that a disturbed row is tried again
SPARE = 200  # descriptors of the relay that are no connection's
TICKS = os.sysconf("SC_CLK_TCK")
PR_SET_PDEATHSIG = 1


@dataclass(frozen=True)
class Plan:
    """connections: standing at the measured points; rates: lines a second there; seconds of each window."""

    connections: tuple[int, ...]
    rates: tuple[float, ...]
    rest_s: float
    rate_s: float
    steps: int  # of the search
    step_s: float
    hold_s: float  # for the rate that was found, once more
    bursts: int


PLANS = {
    "small": Plan((250, 1000), (1000.0, 4000.0), 0.25, 0.3, 2, 0.6, 0.0, 1),
    "machine": Plan((1000, 5000, 20_000), (2000.0, 5000.0, 10_000.0), 5.0, 3.0, 8, 4.0, 10.0, 4),
}


class Process:
    """A child that dies with this process; orders and answers are JSON lines."""

    def __init__(self, name: str, arguments: Sequence[str], log: Path, **environ: str) -> None:
        def begin() -> None:
            ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
            os.sched_setaffinity(0, may)

        may = cores()
        self.name, self.log = name, log
        with log.open("wb") as errors:
            self.child = subprocess.Popen(
                [sys.executable, "-B", "-m", *arguments],
                cwd=ROOT,
                env=os.environ | environ,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=errors,
                bufsize=0,
                preexec_fn=begin,  # noqa: PLW1509  # no other thread runs yet
            )

    def tell(self, order: dict[str, Any]) -> None:
        assert self.child.stdin is not None
        self.child.stdin.write(json.dumps(order).encode() + b"\n")

    def ask(self, do: str, within_s: float = 60.0, **order: Any) -> dict[str, Any]:
        """Gives an order and waits for its answer; TimeoutError after so many seconds, RuntimeError where it ended."""
        self.tell({"do": do} | order)
        return self.answer(within_s)

    def answer(self, within_s: float) -> dict[str, Any]:
        assert self.child.stdout is not None
        if not select.select([self.child.stdout], [], [], within_s)[0]:
            raise TimeoutError(f"{self.name} has not answered for {within_s:g} s")
        line = b""
        while not line.endswith(b"\n"):
            if not (more := self.child.stdout.readline()):
                raise RuntimeError(f"{self.name} has ended: {self.log.read_text()[-2000:]}")
            line += more
        answer: dict[str, Any] = json.loads(line)
        return answer

    def cpu_s(self) -> tuple[float, float]:
        """Processor time of the process, and for how long it could have run and did not: from the scheduler's
        nanoseconds where there are any, else in ticks, and without the wait."""
        threads = [path.read_text().split() for path in Path(f"/proc/{self.child.pid}/task").glob("*/schedstat")]
        if threads:
            return sum(int(thread[0]) for thread in threads) / 1e9, sum(int(thread[1]) for thread in threads) / 1e9
        fields = Path(f"/proc/{self.child.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS, 0.0

    def memory_kb(self, what: str = "Pss") -> int:
        """Pss or Rss in kB; what the kernel holds for sockets is in neither."""
        lines = Path(f"/proc/{self.child.pid}/smaps_rollup").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith(f"{what}:"))

    def end(self) -> None:
        self.child.kill()
        self.child.wait()


@dataclass
class Window:
    """What a stretch of time took: shares of a core."""

    seconds: float
    hop: float  # the relay, or the splicer
    backends: float
    clients: float
    hop_waits: float  # while others have its core
    stand_in_waits: float  # of the stand-in that waits most


@dataclass
class Row:
    what: str
    connections: int
    asked: float  # lines a second
    rate: float  # as they were sent
    window: Window
    sent: dict[str, Any]
    delays: dict[str, Any]

    @property
    def disturbed(self) -> bool:
        """Whether somebody other than the relay may have made lines late: a stand-in, or who shares the cores."""
        w = self.window
        return (
            max(w.backends, w.clients) > BUSY
            or max(w.hop_waits, w.stand_in_waits) > WAITS
            or (self.sent["lag_ms"] > LAG_MS)
        )

    @property
    def holds(self) -> bool:
        """Whether lines left as asked, 99 in 100 came in time (ms), and no queue grew."""
        d, on_time = self.delays, self.rate >= 0.97 * self.asked
        return bool(on_time and max(d["p99_ms"], d["tail_p99_ms"]) <= P99_MS and d["tail_p50_ms"] <= QUEUE_MS)

    def __str__(self) -> str:
        w, d = self.window, self.delays
        return (
            f"  {self.what:14} {self.connections:6} {self.rate:8,.0f} {100 * w.hop:6.1f} {100 * w.backends:6.1f} "
            f"{100 * w.clients:6.1f} {100 * w.hop_waits:6.1f} {100 * w.stand_in_waits:6.1f} "
            f"{os.getloadavg()[0]:5.1f} {self.sent['lag_ms']:7.1f} "
            f"{d['p50_ms']:7.1f} {d['p99_ms']:8.1f} {d['tail_p50_ms']:8.1f}" + " disturbed" * self.disturbed
        )


HEAD = "  row             conns  lines/s  hop %  nod %  sub % hopw % stiw %  load  lag ms  p50 ms   p99 ms  tail ms"


@dataclass
class Found:
    """By each number of standing connections; times are microseconds of the hop's process."""

    connections: list[int] = field(default_factory=list)
    pss_kb: list[int] = field(default_factory=list)
    rss_kb: list[int] = field(default_factory=list)
    rest_us_s: list[float] = field(default_factory=list)  # of all that stand, a second
    us_setup: list[float] = field(default_factory=list)
    us_line: list[float] = field(default_factory=list)
    rows: list[Row] = field(default_factory=list)  # of the last number
    us_end: float = 0.0
    us_echo: float = 0.0


def slope(xs: Sequence[float], ys: Sequence[float]) -> float:
    """Of the least squares."""
    mx, my = sum(xs) / len(xs), sum(ys) / len(ys)
    return sum((x - mx) * (y - my) for x, y in zip(xs, ys, strict=True)) / sum((x - mx) ** 2 for x in xs)


class Bench:
    def __init__(self, plan: Plan, broken: list[str], backends: Process, clients: Process) -> None:
        self.plan, self.broken, self.backends, self.clients = plan, broken, backends, clients
        self.hop = backends  # the process whose cost is measured
        self.standing = 0

    def window(self, work: Callable[[], dict[str, Any]]) -> tuple[Window, dict[str, Any]]:
        parties = (self.hop, self.backends, self.clients)
        began, before = time.perf_counter(), [p.cpu_s() for p in parties]
        done = work()
        after, took = [p.cpu_s() for p in parties], time.perf_counter() - began
        ran = [(b[0] - a[0]) / took for a, b in zip(before, after, strict=True)]
        waited = [(b[1] - a[1]) / took for a, b in zip(before, after, strict=True)]
        return Window(took, ran[0], ran[1], ran[2], waited[0], max(waited[1:])), done

    def rest(self, seconds: float) -> Window:
        def nothing() -> dict[str, Any]:
            time.sleep(seconds)
            return {}

        return self.window(nothing)[0]

    def lines(self, what: str, rate: float, seconds: float, bursts: Sequence[float] = (), echo: bool = False) -> Row:
        """Lines at a rate, until the last has come; every one has to come, and whole."""
        before = self.clients.ask("begin")
        sender = self.clients if echo else self.backends
        window, sent = self.window(
            lambda: sender.ask("send", rate=rate, seconds=seconds, bursts=list(bursts), within_s=4 * seconds + 20)
        )
        until, expected = time.monotonic() + DRAIN_S, sent["sent"] - sent["missed"] + len(bursts) * sent["burst_size"]
        while (heard := self.clients.ask("standing"))["received"] < expected and time.monotonic() < until:
            time.sleep(0.1)
        row = Row(what, self.standing, rate, sent["sent"] / sent["took_s"], window, sent, self.clients.ask("delays"))
        print(row, flush=True)
        wrong = heard["broken"] - before["broken"], heard["bad"] - before["bad"], sent["missed"]
        if heard["received"] != expected or any(wrong):
            self.broken.append(
                f"{what}, {self.standing} connections, {rate:,.0f} lines/s: {heard['received']} of {expected} lines "
                f"came; {wrong[0]} connections lost, {wrong[1]} lines not whole, {wrong[2]} not sent"
            )
        return row

    def to(self, count: int, address: Sequence[Any]) -> float:
        """Connections until so many stand; processor time of the hop in microseconds for each."""
        new, before = count - self.standing, self.clients.ask("standing")
        window, done = self.window(
            lambda: self.clients.ask(
                "open", count=new, host=address[0], port=address[1], at_once=AT_ONCE, within_s=90.0
            )
        )
        us = window.hop * window.seconds / new * 1e6
        broken = done["broken"] - before["broken"]
        print(
            f"  {self.hop.name} set-ups to {count}: {us:.0f} us each, {new / window.seconds:,.0f} a second, "
            f"UP within {done['p99_ms']:.1f} ms (99 %), {AT_ONCE} at once; {self.shares(window)}",
            flush=True,
        )
        if done["standing"] != count or done["failed"] or broken:
            self.broken.append(
                f"{self.hop.name} set-ups to {count}: {done['standing']} stand, {done['failed']} "
                f"failed, {broken} lost; {self.shares(window)}"
            )
        self.standing = done["standing"]
        return us

    def shares(self, window: Window) -> str:
        return (
            f"hop {100 * window.hop:.0f} %, nodes {100 * window.backends:.0f} %, submitters "
            f"{100 * window.clients:.0f} %; waits: hop {100 * window.hop_waits:.0f} %, stand-ins "
            f"{100 * window.stand_in_waits:.0f} %; load {os.getloadavg()[0]:.1f}"
        )

    def points(self, address: Sequence[Any], counts: Sequence[int], rates: Sequence[float]) -> Found:
        """Memory, rest and lines at each number of standing connections."""
        found = Found()
        print(HEAD)
        for count in counts:
            found.us_setup.append(self.to(count, address))
            time.sleep(min(1.0, self.plan.rest_s))  # what set-ups leave behind
            window = self.rest(self.plan.rest_s)
            found.connections.append(count)
            found.pss_kb.append(self.hop.memory_kb())
            found.rss_kb.append(self.hop.memory_kb("Rss"))
            found.rest_us_s.append(window.hop * 1e6)
            print(
                f"  {self.hop.name} {count} at rest: {window.hop * 1e6:.0f} us a second, PSS {found.pss_kb[-1]} kB, "
                f"RSS {found.rss_kb[-1]} kB; {self.shares(window)}",
                flush=True,
            )
            rows = [self.lines(f"{self.hop.name} rate", rate, self.plan.rate_s) for rate in rates]
            found.us_line.append(slope([r.rate for r in rows], [r.window.hop * 1e6 for r in rows]))
            found.rows = rows
        row = self.lines(f"{self.hop.name} echo", rates[0], self.plan.rate_s, echo=True)
        found.us_echo = (row.window.hop * 1e6 - found.rest_us_s[-1]) / row.rate
        return found

    def search(self, rows: list[Row]) -> tuple[Row | None, Row | None]:
        """Steps to the highest rate that holds, from the asked one up or down, halving what is between at last; what
        was disturbed is tried again. The highest row that holds, and the lowest above it that does not."""
        low, high, rate = 0.0, 0.0, ASKED_LINES_S
        for _ in range(self.plan.steps):
            row = self.lines("search", rate, self.plan.step_s)
            rows.append(row)
            if row.holds:
                low = rate
            elif row.disturbed and sum(one.what == "search" and one.asked == rate for one in rows) <= AGAIN:
                continue
            else:
                high = rate
            if high and low and high / low < 1.06:
                break
            rate = (low + high) / 2.0 if low and high else rate * (1.25 if row.holds else 0.75)
        tried = sorted({row.asked for row in rows if row.holds}, reverse=True)
        held: Row | None = None
        for asked in tried[:3] if self.plan.hold_s else ():
            for _ in range(1 + AGAIN):
                rows.append(self.lines("held longer", asked, self.plan.hold_s))
                if rows[-1].holds:
                    held = rows[-1]
                if held or not rows[-1].disturbed:
                    break
            if held:
                break
        held = held or max((row for row in rows if row.holds), key=lambda row: row.rate, default=None)
        above = [row for row in rows if not row.holds and row.asked > (held.asked if held else 0.0)]
        return held, min(above, key=lambda row: (row.asked, row.disturbed), default=None)

    def bursts(self, rate: float, what: str) -> tuple[Row, list[dict[str, Any]]]:
        at = [0.3 + 1.5 * n for n in range(self.plan.bursts)]
        row = self.lines(what, rate, at[-1] + 1.1, at)
        bursts: list[dict[str, Any]] = row.delays["bursts"]
        for number, burst in enumerate(bursts):
            print(
                f"    burst {number}: the last of {burst['count']} after {burst['last_ms']:.1f} ms; p99 of the other "
                f"lines of that second {burst['others_p99_ms']:.1f} ms"
            )
        if len(bursts) != len(at) or any(b["count"] != row.sent["burst_size"] for b in bursts):
            self.broken.append(f"{what}, {row.rate:,.0f} lines/s: a burst did not reach all of its group")
        return row, bursts

    def ended(self) -> float:
        """All connections end; processor time of the hop in microseconds for each."""

        def close() -> dict[str, Any]:
            self.clients.ask("close")
            until = time.monotonic() + 15.0
            while any(party.ask("standing")["standing"] for party in (self.clients, self.backends)):
                if time.monotonic() > until:
                    self.broken.append(f"{self.hop.name} ends: connections are left after 15 s")
                    break
                time.sleep(0.05)
            time.sleep(0.7)  # the relay hears its peers out for half a second
            return {}

        window, _ = self.window(close)
        count, self.standing = self.standing, 0
        us = window.hop * window.seconds / count * 1e6
        print(f"  {self.hop.name} ends of {count}: {us:.0f} us each; {self.shares(window)}", flush=True)
        return us


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def start_relay(
    folder: Path, discovery: Sequence[Any], known: dict[str, Any], seed: int
) -> tuple[Process, tuple[str, int]]:
    """The program as operators start it, serving."""
    address = ("127.0.0.1", free_port())
    settings = SETTINGS | {
        # Long waits, so that a stand-in that others keep from its core is not taken for a node that is lost.
        "categories": [SETTINGS["categories"][0] | {"deadline_ms": WAIT_MS}],
        "limits": SETTINGS["limits"] | {"connect_timeout_ms": WAIT_MS},
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
        "known": known,
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
    )
    return relay, address


def wait_for_relay(relay: Process) -> None:
    until = time.monotonic() + 15.0
    while "serves at" not in relay.log.read_text():
        if relay.child.poll() is not None or time.monotonic() > until:
            raise RuntimeError(f"the relay does not serve: {relay.log.read_text()[-2000:]}")
        time.sleep(0.05)


@contextmanager
def terminable() -> Iterator[None]:
    """SIGTERM ends the run in order, and its children with it."""

    def end(number: int, frame: FrameType | None) -> None:
        raise SystemExit(128 + number)

    before = signal.signal(signal.SIGTERM, end)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, before)


def cores() -> set[int]:
    """The last four that this process may use: the relay, the stand-ins and nothing else of this run share them."""
    return set(sorted(os.sched_getaffinity(0))[-4:])


def extrapolate(found: Found, kb: float, us_beat: float, us_line: float) -> dict[str, Any]:
    """Shares of one core at the asked size, by how long connections live."""
    us_life = found.us_setup[-1] + found.us_end
    beats, lines = ASKED_CONNECTIONS * us_beat / 1e6, ASKED_LINES_S * us_line / 1e6
    print(
        f"EXTRAPOLATION, not measured: from {found.connections[-1]:,} connections on one relay to "
        f"{ASKED_CONNECTIONS:,}, {ASKED_LINES_S:,.0f} lines/s\n  (set-up and end {us_life:.0f} us, line "
        f"{us_line:.1f} us, rest {us_beat:.2f} us a connection and second; {ASKED_CONNECTIONS * kb / 1024:.0f} "
        f"MB, {2 * ASKED_CONNECTIONS:,} descriptors)\n  life     set-ups/s  set-ups  lines  rest  share of a core  "
        f"lines/s that one core carries"
    )
    shares, rates = {}, {}
    for name, lifetime_s in LIVES:
        setups = ASKED_CONNECTIONS / lifetime_s
        part = setups * us_life / 1e6
        shares[name], rates[name] = round(part + lines + beats, 3), round(max(0.0, (1 - part - beats) / us_line * 1e6))
        print(f"  {name:8} {setups:9,.1f} {part:8.2f} {lines:6.2f} {beats:5.2f} {shares[name]:16.2f} {rates[name]:15,}")
    left = 1.0 - lines - beats
    shortest = round(ASKED_CONNECTIONS * us_life / 1e6 / left, 1) if left > 0.0 else None
    print(
        f"  one core carries {ASKED_LINES_S:,.0f} lines/s "
        + (f"where connections live for {shortest:,} s or longer" if shortest else "at no life")
    )
    return {"extrapolated_core_share": shares, "extrapolated_lines_s": rates, "extrapolated_shortest_life_s": shortest}


def run(seed: int, size: str, broken: list[str], line: int = 100) -> dict[str, Any]:
    """Measures, prints tables, and adds to `broken` a sentence for each rule that fails. line: bytes, CRLF included."""
    plan = PLANS.get(size, PLANS["machine"])  # what is real has no larger size than the machine's
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    reach = (limit - SPARE) // 2
    counts = tuple(sorted({min(count, reach) for count in plan.connections}))
    short = f" instead of {plan.connections[-1]}" if counts[-1] < plan.connections[-1] else ""
    print(
        f"lines of {line} bytes with CRLF; {BACKENDS} execute nodes; descriptors: {limit}, so at most {reach} "
        f"connections through one relay{short}"
    )
    group = min(GROUP, counts[-1])
    print(
        f"cores {sorted(cores())} for relay or splicer, nodes and submitters, each of which runs on one at a time\n"
        "hop: share of a core of the relay or splicer; hopw, stiw: part of the time that it, or a stand-in, waited\n"
        "for a core while others had it; lag: how late lines left (99 %); tail: the median of the last quarter;\n"
        "lines leave in ticks of 1 ms, on connections in turn; delays count from when a line was due"
    )
    with terminable(), tempfile.TemporaryDirectory(prefix="capacity-") as name, ExitStack() as stack:
        folder = Path(name)

        def started(process: Process) -> Process:
            stack.callback(process.end)
            return process

        stand_in = "benchmarks.capacity.stand_in"
        backends = started(Process("nodes", [stand_in, "nodes"], folder / "nodes.log"))
        clients = started(Process("submitters", [stand_in, "submitters"], folder / "submitters.log"))
        splicer = started(Process("splicer", [stand_in, "splicer"], folder / "splicer.log"))
        backends.tell({"seed": seed, "length": line, "nodes": BACKENDS})
        clients.tell({"seed": seed, "length": line, "group": group})
        there = backends.ask("start")
        relay, address = start_relay(folder, there["discovery"], there["list"], seed)
        started(relay)
        wait_for_relay(relay)
        clients.ask("standing")  # it has started as well
        bench = Bench(plan, broken, backends, clients)
        bench.hop = relay
        found = bench.points(address, counts, plan.rates)
        rows = found.rows
        held, above = bench.search(rows)
        held_rate = held.asked if held else plan.rates[0]
        if held is None:
            broken.append(f"search, {counts[-1]} connections: no rate holds a p99 of {P99_MS:.0f} ms")
        background = 0.5 * min(held_rate, ASKED_LINES_S)
        row, bursts = bench.bursts(background, "burst")
        if any(b["others_p99_ms"] > P99_MS for b in bursts) and not row.disturbed:
            broken.append(f"burst, {row.rate:,.0f} lines/s: p99 of the other lines over {P99_MS:.0f} ms")
        found.us_end = bench.ended()
        relay.child.send_signal(signal.SIGTERM)  # its end is seen below
        splicer.tell({"addresses": there["addresses"]})
        bench.hop = splicer
        plain = bench.points(splicer.ask("start")["address"], counts, plan.rates)
        plain_row = bench.lines("splicer high", held_rate, plan.step_s)
        _, plain_bursts = bench.bursts(background, "splicer burst")
        plain.us_end = bench.ended()
        try:
            status: int | None = relay.child.wait(10.0)
        except subprocess.TimeoutExpired:
            status = None
        if status != 0 or "Traceback" in relay.log.read_text():
            broken.append(f"the relay's end: status {status}; its log ends {relay.log.read_text()[-300:]!r}")
    return report(found, plain, held, above, plain_row, bursts, plain_bursts, background, line)


def report(
    found: Found,
    plain: Found,
    held: Row | None,
    above: Row | None,
    plain_row: Row,
    bursts: list[dict[str, Any]],
    plain_bursts: list[dict[str, Any]],
    background: float,
    line: int,
) -> dict[str, Any]:
    def each(one: Found) -> tuple[float, float]:
        """kB a connection, and microseconds of a resting connection and second."""
        return slope(one.connections, one.pss_kb), max(0.0, slope(one.connections, one.rest_us_s))

    (kb, us_beat), (plain_kb, plain_beat) = each(found), each(plain)
    rows = found.rows
    tried = [row for row in rows if row.asked == ASKED_LINES_S]
    asked = next((row for row in tried if row.holds), tried[-1])
    bound = "not reached" if above is None else "stand-ins or others" if above.disturbed else "relay"
    # At the highest rate that holds: what a line costs less there than at low rates counts as well.
    high = held or asked
    us_line_high = (high.window.hop * 1e6 - found.rest_us_s[-1]) / high.rate if held else found.us_line[-1]
    plain_high = (plain_row.window.hop * 1e6 - plain.rest_us_s[-1]) / plain_row.rate
    print("  cost                              relay   splicer   ratio")
    for what, own, bare in [
        ("kB a connection (PSS)", kb, plain_kb),
        ("us a set-up, most standing", found.us_setup[-1], plain.us_setup[-1]),
        ("us an end", found.us_end, plain.us_end),
        ("us a line, slope, most standing", found.us_line[-1], plain.us_line[-1]),
        ("us a line at the held rate", us_line_high, plain_high),
        ("us a line and its echo", found.us_echo, plain.us_echo),
        ("us at rest, connection and s", us_beat, plain_beat),
        ("p99 ms at the held rate", high.delays["p99_ms"], plain_row.delays["p99_ms"]),
        (
            "last of the burst, worst, ms",
            max((b["last_ms"] for b in bursts), default=0.0),
            max((b["last_ms"] for b in plain_bursts), default=0.0),
        ),
    ]:
        print(f"  {what:32} {own:7.2f} {bare:9.2f} " + (f"{own / bare:7.2f}" if bare > 0.005 else "      -"))
    print(
        f"  {ASKED_LINES_S:,.0f} lines/s asked: p99 {asked.delays['p99_ms']:.0f} ms, "
        + ("held" if asked.holds else "not held")
        + "; highest rate held: "
        + (f"{held.rate:,.0f} lines/s, p99 {held.delays['p99_ms']:.0f} ms" if held else "none")
        + f" (bound above it: {bound})"
    )
    return {
        "line_bytes": line,
        "connections": found.connections,
        "kb_connection": round(kb, 2),
        "pss_kb": found.pss_kb,
        "rss_kb": found.rss_kb,
        "us_line": [round(us, 2) for us in found.us_line],
        "us_line_held": round(us_line_high, 2),
        "us_setup": [round(us, 1) for us in found.us_setup],
        "us_end": round(found.us_end, 1),
        "us_echo": round(found.us_echo, 1),
        "us_beat": round(us_beat, 3),
        "lines_s": round(held.rate) if held else 0,
        "p99_ms": round(held.delays["p99_ms"], 1) if held else None,
        "bound": bound,
        "asked_held": asked.holds,
        "asked_p99_ms": round(asked.delays["p99_ms"], 1),
        "search": [[round(r.rate), round(r.delays["p99_ms"], 1), r.holds] for r in rows],
        "burst_ms": [round(b["last_ms"], 1) for b in bursts],
        "burst_background_lines_s": round(background),
        "burst_others_p99_ms": [round(b["others_p99_ms"], 1) for b in bursts],
        "splicer_us_line": [round(us, 2) for us in plain.us_line],
        "splicer_us_line_held": round(plain_high, 2),
        "splicer_kb_connection": round(plain_kb, 2),
        "splicer_us_setup": [round(us, 1) for us in plain.us_setup],
        "splicer_p99_ms": round(plain_row.delays["p99_ms"], 1),
        "splicer_burst_ms": [round(b["last_ms"], 1) for b in plain_bursts],
    } | extrapolate(found, kb, us_beat, us_line_high)


def main(arguments: Sequence[str] | None = None) -> int:
    parser = options("What lines, set-ups and standing connections cost on the real relay, beside a bare splicer.")
    parser.add_argument("--line", type=int, default=100, help="bytes of a line, 24 to 4000")
    chosen = parser.parse_args(arguments)
    if not 24 <= chosen.line <= 4000:
        parser.error("--line is from 24 to 4000")
    started, broken = time.perf_counter(), list[str]()
    result = run(chosen.seed, chosen.size, broken, chosen.line)
    return finish(result, broken, started, chosen.json, chosen.seed, chosen.size)


if __name__ == "__main__":
    sys.exit(main())
