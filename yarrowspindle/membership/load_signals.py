"""What this relay says of itself, and what it was told by each other one; the sums are kept step by step. Pure.

All figures are absolute, so that word that comes twice or out of order does no harm. A change is told in three words
that follow one another; a part of the whole goes with some of them by turns; where more was lost the whole is asked
for.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import islice
from math import inf

from yarrowspindle.decisions.events import PeerLoads
from yarrowspindle.membership.codec import LoadSignal
from yarrowspindle.membership.messages import LocalLoad

MAX_FIGURE = (1 << 32) - 1
ENTRIES = 50  # of three figures in a datagram, the whole of it at most 1,200 bytes with the heads and rumours
REPORTS, PASSED = 12, 12  # at most in a datagram, which holds fewer entries then, half of them at the least
TOLD_TIMES = 3
MAX_TOLD = 400  # changes that wait to be told, of half a datagram each: all that may be held, once over
PART_EVERY = 4  # beats between parts of the whole
MAX_KEYS = 8192  # nodes that one relay may say it holds something at
LEAST_CHANGE = 0.05  # of a load alone, that is told
OLD_MS = 4500.0  # word that is older counts for nothing
WINDOW_MS = 60_000.0  # the bound on another's clock is taken anew within two of these
WANTED_MS = 1000.0  # the whole is asked for again no sooner
REPORT_AGE_MS = 5000.0
NOTHING = (0, 0)


@dataclass(slots=True)
class Changes:
    """Nodes of which something changed, and how often they were told with this version."""

    version: int
    keys: list[int]
    times: int = 0


class LocalLoadLog:
    """What this relay holds, and the words in which it is told."""

    def __init__(self) -> None:
        self.holds: dict[int, tuple[int, int]] = {}  # as last told
        self.version = 0
        self.told: deque[Changes] = deque()
        self.beat = self.cursor = 0
        self.reports_told: dict[int, float] = {}  # node -> when the report was made that was last told

    def signal(self, own: LocalLoad, now: float, times: int = TOLD_TIMES) -> LoadSignal:
        """The word of one beat: one datagram, so that none overtakes another. What does not fit goes with the next one.
        Each change is told so many times, as long as the newer ones leave room."""
        self.beat += 1
        changed = self._changed(own)
        for start in range(0, len(changed), ENTRIES // 2):
            self.version += 1
            self.told.append(Changes(self.version, changed[start : start + ENTRIES // 2]))
        passed = [f for key, left in islice(own.passed.items(), PASSED) for f in (key, figure(left))]
        reports = self._reports(own, now)
        room = self._room(passed, reports)
        # What never found room is given up, the oldest first: who misses a version asks for the whole.
        while len(self.told) > MAX_TOLD:
            self.told.popleft()
        while self.told and self.told[0].times >= times:
            self.told.popleft()
        while self.told and self.told[0].times and sum(len(c.keys) for c in self.told) > room:
            self.told.popleft()
        base = last = self.told[0].version - 1 if self.told else self.version
        keys = dict[int, None]()
        for changes in self.told:
            new = [key for key in changes.keys if key not in keys]
            if keys and len(keys) + len(new) > room:
                break
            keys |= dict.fromkeys(new)
            changes.times += 1
            last = changes.version
        first, end, part = 0, 0, list[int]()
        if self.beat % PART_EVERY == 0:
            first, end, part = self._part(max(room - len(keys), 8))
        return LoadSignal(base, last, self._entries(keys), first, end, part, passed, reports)

    def whole(self) -> list[LoadSignal]:
        """All of it, in parts."""
        keys, words, first = sorted(self.holds), list[LoadSignal](), 0
        for start in range(0, max(len(keys), 1), ENTRIES):
            some = keys[start : start + ENTRIES]
            last = some[-1] if start + ENTRIES < len(keys) else MAX_FIGURE
            words.append(LoadSignal(0, self.version, [], first, last, self._entries(some)))
            first = last + 1
        return words

    def _changed(self, own: LocalLoad) -> list[int]:
        before, changed = self.holds, []
        for key, (count, load) in islice(own.holds.items(), MAX_KEYS):
            now = (figure(count), figure(load))
            was = before.get(key)
            if was is None or was[0] != now[0] or abs(was[1] - now[1]) > LEAST_CHANGE * max(was[1], now[1]):
                before[key] = now
                changed.append(key)
        for key in [key for key in before if key not in own.holds]:
            del before[key]
            changed.append(key)
        return changed

    def _reports(self, own: LocalLoad, now: float) -> list[int]:
        told = list[int]()
        for key, (used, holds, age) in own.reports.items():
            if age < REPORT_AGE_MS and now - age > self.reports_told.get(key, -inf) + 1.0 and len(told) < 4 * REPORTS:
                self.reports_told[key] = now - age
                told += [key, figure(1000.0 * used), figure(holds), figure(age)]
        if len(self.reports_told) > MAX_KEYS:
            self.reports_told.clear()
        return told

    @staticmethod
    def _room(passed: list[int], reports: list[int]) -> int:
        return ENTRIES - len(passed) // 3 - len(reports) // 3

    def _part(self, most: int) -> tuple[int, int, list[int]]:
        """The next part of the whole: where it starts and ends, and what is in it."""
        if self.cursor > MAX_FIGURE:
            self.cursor = 0
        first = self.cursor
        keys = sorted(key for key in self.holds if key >= first)
        last = keys[most - 1] if len(keys) > most else MAX_FIGURE
        self.cursor = last + 1
        return first, last, self._entries(keys[:most])

    def _entries(self, keys: Iterable[int]) -> list[int]:
        return [f for key in keys for f in (key, *self.holds.get(key, (0, 0)))]


class PeerView:
    """What one other relay said."""

    __slots__ = ("incarnation", "at", "version", "holds", "passed", "bounds", "counted", "wanted_at", "lost", "least")

    def __init__(self, incarnation: int) -> None:
        self.incarnation, self.at, self.version = incarnation, -1, -1
        self.holds: dict[int, tuple[int, int]] = {}
        self.passed: dict[int, float] = {}  # node -> until when
        self.bounds: list[tuple[float, float]] = []  # windows: since when, the least (its clock minus ours)
        self.least = inf  # of those windows
        self.counted = False  # in the sums
        self.wanted_at, self.lost = -inf, False

    def clock(self, shown: float, asked: float) -> None:
        """Its clock showed this, no earlier than our own showed that."""
        if not self.bounds or asked >= self.bounds[-1][0] + WINDOW_MS:
            self.bounds = [*self.bounds[-1:], (asked, shown - asked)]
        else:
            since, least = self.bounds[-1]
            self.bounds[-1] = (since, min(least, shown - asked))
        self.least = min(least for _, least in self.bounds)

    def age(self, now: float) -> float:
        """The most that its newest word can be old; infinite before its clock is known."""
        return max(0.0, now - self.at + self.least) if self.at >= 0 else inf


class LoadSignals:
    def __init__(self) -> None:
        self.own = LocalLoadLog()
        self.heard: dict[str, PeerView] = {}
        self.sums: dict[int, list[int]] = {}  # node -> connections, load of all that are counted
        self.changed: set[int] = set()
        self.came: dict[int, int] = {}
        self.reports: dict[int, tuple[float, float, float]] = {}  # node -> use, connections, when it was made
        self.counts: Counter[str] = Counter()
        self.shunned: frozenset[int] = frozenset()

    # --- what comes in --------------------------------------------------------------------------

    def of(self, name: str, incarnation: int) -> PeerView:
        heard = self.heard.get(name)
        if heard is None or heard.incarnation != incarnation:
            self.gone(name)
            heard = self.heard[name] = PeerView(incarnation)
        return heard

    def gone(self, name: str) -> None:
        """It left, ended, or lives anew: its part goes at once."""
        heard = self.heard.pop(name, None)
        if heard is not None:
            self._count(heard, False)

    def told(self, name: str, incarnation: int, at: int, word: LoadSignal, now: float) -> bool:
        """A word came; whether the whole should be asked for."""
        heard = self.of(name, incarnation)
        if at <= heard.at:
            self.counts["signals_old"] += 1
            return False
        if word.first == 0 and word.last == MAX_FIGURE:  # all of it
            heard.lost = False
        elif word.base > heard.version:
            heard.lost = True
            self.counts["signals_gaps"] += 1
        heard.at, heard.version = at, max(heard.version, word.version)
        self.counts["signals_taken"] += 1
        if word.last > word.first:
            named = set(word.part[::3])
            gone = [k for k in heard.holds if word.first <= k <= word.last and k not in named]
            self._take(heard, [f for key in gone for f in (key, *NOTHING)])
        self._take(heard, word.part)
        self._take(heard, word.changed)
        heard.passed = {key: now + left for key, left in zip(word.passed[::2], word.passed[1::2], strict=True)}
        for key, used, holds, age in zip(*(iter(word.reports),) * 4, strict=True):
            made = now - heard.age(now) - age
            if made > now - REPORT_AGE_MS and made > self.reports.get(key, (0.0, 0.0, -inf))[2]:
                self.reports[key] = (used / 1000.0, float(holds), made)
        if heard.lost and now >= heard.wanted_at + WANTED_MS:
            heard.wanted_at, heard.lost = now, False
            return True
        return False

    def _take(self, heard: PeerView, figures: list[int]) -> None:
        """In one loop: with 200 relays some thousand figures come in a second, and each change comes three times."""
        holds, counted, sums, came = heard.holds, heard.counted, self.sums, self.came
        for key, count, load in zip(figures[::3], figures[1::3], figures[2::3], strict=True):
            was_count, was_load = was = holds.get(key, NOTHING)
            if was_count == count and was_load == load:
                continue
            if not count and not load:
                del holds[key]
            elif was is NOTHING and len(holds) >= MAX_KEYS:
                continue
            else:
                holds[key] = (count, load)
            if counted:
                total = sums.get(key)
                if total is None:
                    sums[key] = [count - was_count, load - was_load]
                else:
                    total[0] += count - was_count
                    total[1] += load - was_load
                    if not total[0] and not total[1]:
                        del sums[key]
                self.changed.add(key)
                came[key] = came.get(key, 0) + count - was_count

    def _add(self, key: int, count: int, load: int) -> None:
        total = self.sums.get(key)
        if total is None:
            self.sums[key] = [count, load]
        else:
            total[0] += count
            total[1] += load
            if not total[0] and not total[1]:
                del self.sums[key]
        self.changed.add(key)

    def _count(self, heard: PeerView, counted: bool) -> None:
        if heard.counted != counted:
            heard.counted = counted
            by = 1 if counted else -1
            for key, (count, load) in heard.holds.items():
                self._add(key, by * count, by * load)

    # --- what goes to the module ------------------------------------------------------------------

    def others(self, now: float, size: int, rank: int) -> PeerLoads:
        """As far as it changed since this was last asked."""
        ages = []
        for heard in self.heard.values():
            age = heard.age(now)
            self._count(heard, age < OLD_MS)
            if heard.counted:
                ages.append(age)
        passed = Counter(
            key for heard in self.heard.values() if heard.counted for key, until in heard.passed.items() if until > now
        )
        self.shunned = frozenset(key for key, times in passed.items() if 2 * times > len(ages))
        holds = {
            key: (int(total[0]), float(total[1])) if (total := self.sums.get(key)) else (0, 0.0) for key in self.changed
        }
        told = PeerLoads(
            holds,
            {key: by for key, by in self.came.items() if by},
            len(ages),
            size,
            sum(ages) / len(ages) if ages else 0.0,
            self.shunned,
            {key: (used, held, now - made) for key, (used, held, made) in self.reports.items()},
            rank,
        )
        self.changed.clear()
        self.came.clear()
        self.reports.clear()
        return told

    def oldest(self, now: float) -> float:
        """Age of the oldest word that counts, in milliseconds."""
        return max((heard.age(now) for heard in self.heard.values() if heard.counted), default=0.0)

    def unclocked(self, names: list[str]) -> Iterator[str]:
        """Relays whose clock is not known yet."""
        return (name for name in names if (heard := self.heard.get(name)) is None or not heard.bounds)


def figure(value: float) -> int:
    return min(max(int(value + 0.5), 0), MAX_FIGURE)
