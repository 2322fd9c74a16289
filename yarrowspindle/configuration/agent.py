"""A relay's side of control: `(state, event) -> effects`, for real sockets and the virtual clock alike.

Safe to lose: without a controller the relay serves on by what it has. It talks with one controller at a time, its
zone's first, and with another when that one is silent; never with other relays.

Rules
1. A version is taken only after all steps up to it, or as a whole, and only where its digest is right.
2. Never a lower version after a higher one, also after a restart where the relay has a folder.
3. What the check turns down is not served by: the last good entries stay, and the controller is told why.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from random import Random

from yarrowspindle.configuration.messages import (
    MAX_WHY,
    ApplySettings,
    Delta,
    Detach,
    Effect,
    Event,
    Heartbeat,
    LatestVersion,
    LogMessage,
    MessageReceived,
    Persist,
    SendMessage,
    SetTimer,
    SettingsRejected,
    Snapshot,
    TimerFired,
)
from yarrowspindle.configuration.settings import ControllerAddress
from yarrowspindle.configuration.state import Check, Entries, bounds, digest, stepped

TICK_MS, BEAT_MS = 250.0, 500.0  # how often it looks; how often it says that it is there
SILENT_MS = 900.0  # a controller that has not answered for so long is left
ASKED = 2  # controllers that are asked at once by a relay that has none
HOME_MS = 10_000.0  # a better one is asked this often
BEFORE_BEATS = 3  # beats that say where the relay was before
AHEAD_MS = 10_000.0  # controllers that know less for so long have lost something


class Agent:
    """machines: in the order in which this relay prefers them. version, entries: what it had before a restart; 0 and
    nothing: it serves by its file."""

    def __init__(
        self,
        machines: list[ControllerAddress],
        check: Check,
        seed: int,
        now: float,
        version: int = 0,
        entries: Mapping[str, str] | None = None,
    ) -> None:
        self.machines, self.check, self.now = machines, check, now
        self.rank = {machine.name: n for n, machine in enumerate(machines)}
        self.random = Random(seed)
        self.known, self.entries = version, dict(entries or {})  # the newest, checked or not
        self.digest = digest(self.known, self.entries)
        self.taken, self.why = 0, ""
        self.served: Entries = {}  # by which the relay serves
        self.previous: tuple[int, Entries] = (0, {})  # the same before the last that was taken
        self.current: ControllerAddress | None = None
        self.heard = now  # the current one
        self.beat_at = now
        self.asked_at = -1.0  # a beat went out that has no answer yet
        self.next = 0  # whom to ask while there is none
        self.home_at = now + HOME_MS * self.random.uniform(0.5, 1.0)
        self.whole = False
        self.before, self.before_beats = "", 0
        self.ahead_since = -1.0
        self.counts: Counter[str] = Counter()
        self.effects: list[Effect] = []
        if self.known:
            self._take()
        self.effects.append(SetTimer(TICK_MS * self.random.random()))

    def step(self, now: float, event: Event) -> list[Effect]:
        self.now = max(self.now, now)
        if isinstance(event, MessageReceived):
            self._came(event)
        elif isinstance(event, TimerFired):
            self._tick()
        elif isinstance(event, SettingsRejected) and event.version == self.taken:
            self.taken, self.served = self.previous
            self._refused(event.why)
            self._again()
        return self.take_effects()

    def take_effects(self) -> list[Effect]:
        effects, self.effects = self.effects, []
        return effects

    def leave(self) -> list[Effect]:
        """The relay ends in good order."""
        if self.current is not None:
            self.effects.append(SendMessage(self.current.sender, Detach()))
        return self.take_effects()

    # --- who is talked with ---------------------------------------------------------------------

    @property
    def alone(self) -> bool:
        """No controller answers."""
        return self.current is None or self.now > self.heard + SILENT_MS

    def _tick(self) -> None:
        if self.alone:
            if self.current is not None:
                self._beat(self.current)
            for _ in range(min(ASKED, len(self.machines))):
                self._beat(self.machines[self.next])
                self.next = (self.next + 1) % len(self.machines)
        elif self.current is not None and (self.now >= self.beat_at or self.asked_at >= 0.0):
            self.beat_at = self.now + BEAT_MS - TICK_MS / 4.0
            self.asked_at = self.now
            self._beat(self.current)
        if self.current is not None and not self.alone and self.now >= self.home_at:
            self.home_at = self.now + HOME_MS * self.random.uniform(0.5, 1.0)
            for better in self.machines[: min(self.rank[self.current.name], ASKED)]:
                self._beat(better)
        self.effects.append(SetTimer(TICK_MS * self.random.uniform(0.9, 1.1)))

    def _beat(self, to: ControllerAddress) -> None:
        before = ""
        if to is self.current and self.before_beats:
            self.before_beats -= 1
            before = self.before
        self.counts["beats"] += 1
        self.effects.append(
            SendMessage(
                to.sender,
                Heartbeat(
                    self.known, self.digest, self.taken, self.why[:MAX_WHY], self.whole, to is self.current, before
                ),
            )
        )

    def _came(self, event: MessageReceived) -> None:
        rank = self.rank.get(event.sender.name)
        if rank is None or self.machines[rank].address != event.sender.address:
            where = f"{event.sender.address[0]}:{event.sender.address[1]}"
            self.counts["strangers"] += 1
            self.effects.append(LogMessage(f"{event.sender.name} at {where} is none of the controllers here", True))
            return
        source, message = self.machines[rank], event.message
        if self.current is None or source is not self.current and (self.alone or rank < self.rank[self.current.name]):
            self._move(source)
        if source is self.current:
            self.heard, self.asked_at = self.now, -1.0
        elif not isinstance(message, LatestVersion):
            self.effects.append(SendMessage(source.sender, Detach()))  # it takes this relay for its own
        if isinstance(message, LatestVersion):
            self._newest(message)
        elif isinstance(message, Delta):
            self._difference(message)
        elif isinstance(message, Snapshot):
            self._came_whole(message)

    def _move(self, to: ControllerAddress) -> None:
        if self.current is not None:
            self.before, self.before_beats = self.current.name, BEFORE_BEATS
            self.effects.append(SendMessage(self.current.sender, Detach()))
            self.counts["moves"] += 1
        self.current = to
        self.heard = self.now
        self._beat(to)

    # --- what is taken --------------------------------------------------------------------------

    def _newest(self, message: LatestVersion) -> None:
        if message.version == self.known and message.digest != self.digest:
            self._differs()
        if message.version >= self.known:
            self.ahead_since = -1.0
        elif self.ahead_since < 0.0:
            self.ahead_since = self.now
        elif self.now >= self.ahead_since + AHEAD_MS:
            self.ahead_since = self.now
            self.effects.append(
                LogMessage(
                    f"the controllers know of version {message.version}, this relay has {self.known}: "
                    "they lost what was agreed on, or are another fleet's; nothing older is taken",
                    bad=True,
                )
            )

    def _differs(self) -> None:
        self.counts["differs"] += 1
        self.effects.append(
            LogMessage(
                f"version {self.known} has another content here than at the controller: the next "
                "version is taken whole",
                True,
                True,
            )
        )
        self.whole = True

    def _difference(self, message: Delta) -> None:
        if message.version <= self.known:
            return
        if message.base > self.known or message.version - message.base != len(message.steps):
            self._again()  # there is a gap: the beat says from where on
            return
        entries: Entries = self.entries
        for step in message.steps[self.known - message.base :]:
            entries = stepped(entries, step)
        self._learned(message.version, entries, message.digest)

    def _came_whole(self, message: Snapshot) -> None:
        if message.version > self.known:
            self.counts["wholes"] += 1
            self._learned(message.version, message.entries, message.digest)

    def _again(self) -> None:
        if self.current is not None:
            self._beat(self.current)

    def _learned(self, version: int, entries: Entries, wanted: bytes) -> None:
        if digest(version, entries) != wanted or bounds(entries):
            self.counts["bent"] += 1
            if not self.whole:  # once at once, then with each beat: the sender may have a fault that stays
                self.whole = True
                self._again()
            return
        self.whole, self.ahead_since = False, -1.0
        self.known, self.entries, self.digest = version, dict(entries), wanted
        self._take()
        self._again()

    def _take(self) -> None:
        why = self.check(self.entries) if self.entries else ""
        if why:
            self._refused(why)
            return
        changed = frozenset(
            key for key in self.entries.keys() | self.served.keys() if self.entries.get(key) != self.served.get(key)
        )
        self.previous = (self.taken, self.served)
        self.taken, self.served, self.why = self.known, self.entries, ""
        self.effects.append(ApplySettings(self.known, self.entries, changed))
        self.effects.append(Persist(self.known, self.entries))

    def _refused(self, why: str) -> None:
        self.why = why
        self.counts["refused"] += 1
        self.effects.append(
            LogMessage(f"version {self.known} is turned down, version {self.taken} stays: {why}", bad=True)
        )
