"""The core of peers: `(state, event) -> effects`, for real sockets and the virtual clock alike.

Safe to lose: whatever comes or does not come here, jobs are placed; word on the others only shifts which of two is
taken.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from itertools import islice
from random import Random
from typing import Any

from yarrowspindle.membership.codec import (
    ALIVE,
    DEAD,
    LEFT,
    MOST,
    STATES,
    SUSPECT,
    VERSION,
    Ack,
    Body,
    Carried,
    Codec,
    Datagram,
    DroppedDatagramError,
    FullLoadRequest,
    LoadSignal,
    MembershipUpdate,
    Nack,
    Ping,
    PingRequest,
    SyncRequest,
)
from yarrowspindle.membership.failure_detector import HELPERS, NACK_FRACTION, Detector, Probe
from yarrowspindle.membership.load_signals import TOLD_TIMES, LoadSignals
from yarrowspindle.membership.members import Change, Member, Members, rumour_bytes
from yarrowspindle.membership.messages import (
    DatagramReceived,
    Effect,
    Event,
    LeaveCluster,
    LocalLoad,
    LogMessage,
    PayloadReceived,
    PeerLoadsUpdated,
    SampleLocalLoad,
    SendDatagram,
    SendPayload,
    SetTimer,
    TimerFired,
)
from yarrowspindle.membership.settings import PeerSettings
from yarrowspindle.routing.address import Address

BEAT, DIRECT, NACK, SIGNAL, TELL, JOIN = "beat", "direct", "nack", "signal", "tell", "join"
JOIN_MS, MAX_JOIN_MS = 500.0, 5000.0  # between calls at seeds while nobody is known, growing
AGAIN_MS = 2000.0  # a relay held dead, or a seed that nobody knows of, is called this often, so that a cut heals
WHOLES_PER_S, WHOLE_EACH_MS = 8.0, 1000.0  # whole tables and wholes of signals sent, in all and to each
SELDOM_S = 0.5  # beats that are longer tell each change once
TELL_EACH_MS, MAX_TELL_MS = 5.0, 1000.0  # the module is told the less often, the more relays there are
# Datagrams of signals a second: 125 up to 40 relays (at 50 word was 0.4 s old there, and they herded), 50 from 100 on.
SIGNALS_PER_S, MAX_SIGNALS, SIGNALS_ALL = 50.0, 125.0, 5000.0
CLOCKS = 10  # pings a beat for clocks that are not known
MAX_PINGS = 1024
SOURCE_PER_S, MAX_SOURCES = 1000, 1024  # datagrams taken of one address in a second, and addresses
TRIES_WHILE_STOPPING = 3


class Membership:
    """life: a number that grows from one process of a name to the next; the start in Unix milliseconds will do, and
    where that clock went back the others' word corrects it."""

    def __init__(self, settings: PeerSettings, name: str, incarnation: int, seed: int, now: float) -> None:
        self.settings, self.now, self.started = settings, now, now
        self.random = Random(seed)
        self.codec = Codec(settings.cluster)
        self.members = Members(name, settings.reached_at, incarnation, now)
        self.detector = Detector(1000.0 * settings.probe_s, 1000.0 * settings.suspicion_s, self.random.shuffle)
        self.signals = LoadSignals()
        self.counts: Counter[str] = Counter()
        self.numbers = 0
        self.pings: dict[int, tuple[str, float]] = {}  # number -> who was asked, when
        self.asked_for: dict[int, tuple[str, int]] = {}  # own number -> who asked, under which number of its own
        self.wholes, self.wholes_at = WHOLES_PER_S, now
        self.whole_to: dict[tuple[str, str], float] = {}
        self.sources: Counter[Address] = Counter()
        self.sources_at = now
        self.join_ms, self.again_at = JOIN_MS, now + AGAIN_MS
        self.at = -1
        self.last = (0, 1)  # heard and size as last told
        self.left = False
        self.effects: list[Effect] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            DatagramReceived: self._came,
            TimerFired: self._woke,
            LocalLoad: self._own,
            LeaveCluster: self._leave,
            SendPayload: self._carry,
        }
        self.bodies: dict[type, Callable[[Member, Datagram, Any], None]] = {
            Ping: self._ping,
            Ack: self._ack,
            PingRequest: self._ping_for,
            Nack: self._nack,
            SyncRequest: self._tell,
            LoadSignal: self._signal,
            FullLoadRequest: self._wanted,
            Carried: self._carried,
        }
        self.wakes: dict[str, Callable[[], None]] = {
            BEAT: self._beat,
            SIGNAL: self._look,
            TELL: self._tell_module,
            JOIN: self._join,
        }
        self._wake(0.0, JOIN)
        self._wake(self.detector.probe_ms * self.random.random(), BEAT)
        self._wake(1000.0 * settings.signal_s * self.random.random(), SIGNAL)
        self._wake(1000.0 * settings.signal_s, TELL)

    def step(self, now: float, event: Event) -> list[Effect]:
        self.now = max(self.now, now)
        if not self.left or isinstance(event, DatagramReceived):
            self.handlers[type(event)](event)
        return self.take_effects()

    def take_effects(self) -> list[Effect]:
        effects, self.effects = self.effects, []
        return effects

    def _wake(self, delay_ms: float, what: object) -> None:
        self.effects.append(SetTimer(delay_ms, what))

    # --- sending --------------------------------------------------------------------------------

    def _encode(self, body: Body, rumours: list[MembershipUpdate] | None = None, first: str = "") -> bytes:
        """With as many rumours as there is room for, or with these."""
        me = self.members.me
        self.at = max(int(self.now - self.started), self.at + 1)
        datagram = Datagram(
            VERSION, self.settings.cluster, me.name, *me.address, me.incarnation, me.turn, self.at, body, rumours or []
        )
        data = self.codec.encode(datagram)
        if rumours is None and not self.members.displaced:
            taken = self.members.take_rumours(MOST - len(data) - 2, first)
            if taken:
                datagram = Datagram(
                    datagram.version,
                    datagram.cluster,
                    datagram.name,
                    datagram.host,
                    datagram.port,
                    datagram.incarnation,
                    datagram.turn,
                    datagram.at,
                    body,
                    taken,
                )
                data = self.codec.encode(datagram)
        return data

    def _send(self, to: Address, body: Body, rumours: list[MembershipUpdate] | None = None, first: str = "") -> None:
        self._put(to, self._encode(body, rumours, first))

    def _put(self, to: Address, data: bytes) -> None:
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)
        self.effects.append(SendDatagram(to, data))

    def _number(self) -> int:
        self.numbers += 1
        return self.numbers

    def _ask(self, member: Member) -> int:
        number = self._number()
        self.pings[number] = (member.name, self.now)
        while len(self.pings) > MAX_PINGS:
            del self.pings[next(iter(self.pings))]
        self._send(member.address, Ping(number, member.name, self.members.view), first=member.name)
        return number

    def _there(self) -> list[Member]:
        me = self.members.me
        return [member for member in self.members if member.here and member is not me]

    # --- what comes in --------------------------------------------------------------------------

    def _came(self, event: DatagramReceived) -> None:
        self.counts["came"] += 1
        self.counts["came_bytes"] += len(event.data)
        if self.now >= self.sources_at + 1000.0:
            self.sources_at = self.now
            self.sources.clear()
        if self.sources[event.source] >= SOURCE_PER_S or len(self.sources) > MAX_SOURCES:
            return self._drop("flood", event)
        self.sources[event.source] += 1
        try:
            datagram = self.codec.decode(event.data)
        except DroppedDatagramError as why:
            return self._drop(str(why), event)
        if datagram.name == self.members.me.name:
            self._namesake(datagram)
            return self._drop("own name", event)
        known = self.members.table.get(datagram.name)
        if known is not None and datagram.incarnation < known.incarnation:
            self._behind(known, datagram)
            return self._drop("earlier life", event)
        self._rumour(
            MembershipUpdate(datagram.name, datagram.host, datagram.port, datagram.incarnation, datagram.turn, ALIVE)
        )
        for rumour in datagram.rumours:
            self._rumour(rumour)
        member = self.members.table.get(datagram.name)
        if member is None or member.incarnation != datagram.incarnation:
            return self._drop("no room", event)
        if member.state != ALIVE:
            self._behind(member, datagram)
            if member.state == LEFT:
                return self._drop("has left", event)
        member.heard = self.now
        self.bodies[type(datagram.body)](member, datagram, datagram.body)

    def _drop(self, why: str, event: DatagramReceived) -> None:
        self.counts[f"dropped_{why.replace(' ', '_')}"] += 1
        if why not in ("earlier life", "has left"):
            self.effects.append(
                LogMessage(f"a datagram from {event.source[0]}:{event.source[1]} is dropped: {why}", True)
            )

    def _namesake(self, datagram: Datagram) -> None:
        """Somebody else says that it has our name: the later life has it, and the other is told so."""
        me = self.members.me
        if datagram.address == me.address and datagram.incarnation == me.incarnation:
            return  # our own word, sent back to us
        self._rumour(
            MembershipUpdate(datagram.name, datagram.host, datagram.port, datagram.incarnation, datagram.turn, ALIVE)
        )
        if not self.members.displaced:
            self._send(datagram.address, SyncRequest(), [me.rumour()])

    def _behind(self, member: Member, datagram: Datagram) -> None:
        """The sender does not know what is said of it: it must, to object."""
        self._send(datagram.address, SyncRequest(), [member.rumour()])

    def _rumour(self, word: MembershipUpdate) -> None:
        was_displaced = self.members.displaced
        change = self.members.told(word, self.now)
        if word.state == SUSPECT:
            member = self.members.table.get(word.name)
            if (
                member is not None
                and member.state == SUSPECT
                and word.by
                and (member.incarnation, member.turn) == (word.incarnation, word.turn)
                and self.detector.suspect(word.name, word.incarnation, word.turn, word.by, self.now)
                and change is None
            ):
                self.members.spread(word)  # one more has it: that shortens it elsewhere too
        if change is not None:
            self._changed(change)
        elif self.members.displaced and not was_displaced:
            self.effects.append(
                LogMessage(
                    f"another relay at {word.host}:{word.port} has the name {word.name} and started "
                    "later: this one is silent towards the others until that one has ended"
                )
            )

    def _changed(self, change: Change) -> None:
        member = change.member
        if member is self.members.me:
            if change.was == SUSPECT or change.was == DEAD:
                self.detector.worse(1)  # they did not hear us in time: perhaps it is we who are slow
                self.counts["refuted"] += 1
            return
        here = change.was is not None and change.was <= SUSPECT
        self.counts[STATES[member.state]] += 1
        if member.state != SUSPECT:
            self.detector.cleared(member.name)
        if not member.here or change.new_incarnation:
            self.signals.gone(member.name)
        if change.new_incarnation and here:
            self.effects.append(LogMessage(f"relay {member.name} has started anew"))
        elif member.here != here:
            how = {ALIVE: "is there", SUSPECT: "is there", DEAD: "does not answer any more", LEFT: "has left"}
            self.effects.append(
                LogMessage(f"relay {member.name} {how[member.state]}; members: {self.members.describe()}")
            )

    # --- probes ---------------------------------------------------------------------------------

    def _ping(self, member: Member, datagram: Datagram, ping: Ping) -> None:
        if ping.to == self.members.me.name:
            self.members.displaced = False  # it has us under our name
            self._send(datagram.address, Ack(ping.number, self.members.view, ping.to), first=datagram.name)
            self._compare(member, ping.view)

    def _ack(self, member: Member, datagram: Datagram, ack: Ack) -> None:
        name, asked = self.pings.pop(ack.number, ("", 0.0))
        if name != ack.of:
            self.counts["acks_late"] += 1
            return
        if datagram.name == ack.of:
            self.signals.of(member.name, member.incarnation).clock(datagram.at, asked)
            self._compare(member, ack.view)
        probe = self.detector.probe
        if probe is not None and probe.number == ack.number:
            probe.answered = True
        wanted = self.asked_for.pop(ack.number, None)
        if wanted is not None:
            asker = self.members.table.get(wanted[0])
            if asker is not None:
                self._send(asker.address, Ack(wanted[1], ack.view, ack.of))

    def _ping_for(self, member: Member, datagram: Datagram, event: PingRequest) -> None:
        if event.to == self.members.me.name or len(self.asked_for) >= MAX_PINGS:
            return
        number = self._number()
        self.pings[number] = (event.to, self.now)
        self.asked_for[number] = (datagram.name, event.number)
        self._send((event.host, event.port), Ping(number, event.to, self.members.view), first=event.to)
        self._wake(NACK_FRACTION * self.detector.probe_ms, (NACK, number))

    def _nack(self, member: Member, datagram: Datagram, nack: Nack) -> None:
        probe = self.detector.probe
        if probe is not None and probe.number == nack.number:
            probe.nacks += 1

    def _beat(self) -> None:
        """The end of one probe's time and the start of the next."""
        there = self._there()
        silent = self.detector.judged(self.now)
        if silent is not None:
            self._suspect(silent)
        for name in self.detector.ended(self.members.size, self.now):
            self.detector.cleared(name)
            change = self.members.judge(name, DEAD, self.now)
            if change is not None:
                self._changed(change)
        self.members.forget(self.now - 1000.0 * self.settings.forget_s)
        if self.now >= self.again_at:
            self._again()
        if not self.members.displaced and (target := self.detector.next([member.name for member in there])):
            number = self._ask(self.members.table[target])
            self.detector.probe = Probe(target, number, self.now)
            self._wake(self.detector.direct_ms, (DIRECT, number))
            for other in islice(self.signals.unclocked([member.name for member in there]), CLOCKS):
                if other != target:
                    self._ask(self.members.table[other])
        for number in [n for n, (_, at) in self.pings.items() if at < self.now - 8.0 * self.detector.beat_ms]:
            del self.pings[number]
            self.asked_for.pop(number, None)
        self._wake(self.detector.beat_ms, BEAT)

    def _helped(self, number: int) -> None:
        """No answer to the direct probe yet: others may have a way."""
        probe = self.detector.probe
        if probe is None or probe.number != number or probe.answered:
            return
        target = self.members.table.get(probe.name)
        helpers = [member for member in self._there() if member.state == ALIVE and member.name != probe.name]
        if target is None or not helpers:
            return
        for helper in self.random.sample(helpers, min(HELPERS, len(helpers))):
            probe.helpers += 1
            self._send(helper.address, PingRequest(number, target.name, *target.address))

    def _suspect(self, name: str) -> None:
        member = self.members.table.get(name)
        if member is None or not member.here:
            return
        me = self.members.me.name
        change = self.members.judge(name, SUSPECT, self.now)
        if self.detector.suspect(name, member.incarnation, member.turn, me, self.now):
            self.counts["suspicions"] += 1
            self.effects.append(LogMessage(f"relay {name} does not answer a probe, nor {HELPERS} others for us"))
            if change is None:  # somebody else had it first
                self.members.spread(member.rumour(me))
        if change is not None:
            self._changed(change)

    # --- whole tables ---------------------------------------------------------------------------

    def _join(self) -> None:
        """Calls at the seeds until somebody is known."""
        if self.members.size > 1:
            self.join_ms = JOIN_MS
            return
        for seed in self.settings.seeds:
            if seed != self.members.me.address:
                self._send(seed, SyncRequest(True), [self.members.me.rumour()])
        self._wake(self.join_ms * self.random.uniform(0.75, 1.25), JOIN)
        self.join_ms = min(2.0 * self.join_ms, MAX_JOIN_MS)

    def _again(self) -> None:
        """One of those held dead, or a seed that is no member: after a cut somebody must call first."""
        self.again_at = self.now + AGAIN_MS
        if self.members.size == 1 and self.join_ms == JOIN_MS:
            self._join()
        known = {member.address for member in self.members if member.here}
        lost = [member.address for member in self.members if member.state == DEAD]
        lost += [seed for seed in self.settings.seeds if seed not in known and seed not in lost]
        if self.members.displaced:  # who knows what became of the process that took our name?
            lost = [member.address for member in self._there()]
        if lost:
            self._send(self.random.choice(lost), SyncRequest(), [self.members.me.rumour()])

    def _compare(self, member: Member, view: int) -> None:
        if view != self.members.view:
            self._whole_table(member)

    def _may_send_whole(self, what: str, name: str) -> bool:
        self.wholes = min(WHOLES_PER_S, self.wholes + (self.now - self.wholes_at) * WHOLES_PER_S / 1000.0)
        self.wholes_at = self.now
        if self.wholes < 1.0 or self.now < self.whole_to.get((what, name), -WHOLE_EACH_MS) + WHOLE_EACH_MS:
            return False
        if len(self.whole_to) > MAX_PINGS:
            self.whole_to.clear()
        self.wholes -= 1.0
        self.whole_to[(what, name)] = self.now
        return True

    def _whole_table(self, member: Member, answer: bool = False) -> None:
        """All that is known of all, and the wish for theirs."""
        if not self._may_send_whole("table", member.name):
            return
        self.counts["tables_sent"] += 1
        room, some, first = MOST - 260, list[MembershipUpdate](), True
        for known in self.members:
            rumour = known.rumour()
            if room < rumour_bytes(rumour) or len(some) == 64:
                self._send(member.address, SyncRequest(first and not answer), some)
                room, some, first = MOST - 260, [], False
            some.append(rumour)
            room -= rumour_bytes(rumour)
        self._send(member.address, SyncRequest(first and not answer), some)

    def _tell(self, member: Member, datagram: Datagram, tell: SyncRequest) -> None:
        if tell.whole:
            self._whole_table(member, True)

    # --- what others have carried -----------------------------------------------------------------

    def _carry(self, event: SendPayload) -> None:
        """Also to one that is held dead: it may hear us."""
        member = self.members.table.get(event.to)
        if member is not None and not self.members.displaced:
            self._send(member.address, Carried(event.data))

    def _carried(self, member: Member, datagram: Datagram, carried: Carried) -> None:
        self.effects.append(PayloadReceived(member.name, carried.data))

    # --- signals --------------------------------------------------------------------------------

    def _look(self) -> None:
        if self.members.size > 1 and not self.members.displaced:
            self.effects.append(SampleLocalLoad())
        else:
            self._wake(1000.0 * self.settings.signal_s, SIGNAL)

    def _own(self, event: LocalLoad) -> None:
        """Tells all others at once, as often as the bytes allow."""
        there = self._there()
        count = max(len(there), 1)
        least = max(self.settings.signal_s, count / max(SIGNALS_PER_S, min(MAX_SIGNALS, SIGNALS_ALL / count)))
        # Where words come seldom, one that is lost is not made up for by the next two: its whole is asked for.
        data = self._encode(self.signals.own.signal(event, self.now, TOLD_TIMES if least < SELDOM_S else 1))
        for member in there:
            self._put(member.address, data)
        sent = len(data) * len(there)
        self.counts["signal_bytes"] += sent
        self._wake(1000.0 * max(least, sent / self.settings.bytes_per_s), SIGNAL)

    def _signal(self, member: Member, datagram: Datagram, signal: LoadSignal) -> None:
        if member.here and self.signals.told(member.name, member.incarnation, datagram.at, signal, self.now):
            self._send(member.address, FullLoadRequest())

    def _wanted(self, member: Member, datagram: Datagram, wanted: FullLoadRequest) -> None:
        if self._may_send_whole("signals", member.name):
            self.counts["wholes_sent"] += 1
            for word in self.signals.own.whole():
                self._put(member.address, self._encode(word))

    def _tell_module(self) -> None:
        names, me = self.members.names, self.members.me.name
        others = self.signals.others(self.now, len(names), names.index(me) if me in names else 0)
        now = (others.reporting_relays, others.relays)
        if now != self.last or others.reporting_relays or others.loads:
            self.last = now
            self.effects.append(PeerLoadsUpdated(others))
        self._wake(max(1000.0 * self.settings.signal_s, min(MAX_TELL_MS, TELL_EACH_MS * self.members.size)), TELL)

    # --- time, the end ----------------------------------------------------------------------------

    def _woke(self, event: TimerFired) -> None:
        if event.what == BEAT and self.detector.stood(self.now - event.due, self.now):
            self.counts["stood"] += 1
            late = self.now - event.due
            self.effects.append(LogMessage(f"this relay stood still for {late:.0f} ms: it accuses nobody for now"))
        if isinstance(event.what, tuple):
            kind, number = event.what
            if kind == DIRECT:
                self._helped(number)
            elif (wanted := self.asked_for.get(number)) is not None:
                asker = self.members.table.get(wanted[0])
                if asker is not None:
                    self._send(asker.address, Nack(wanted[1]))
        elif isinstance(event.what, str):
            self.wakes[event.what]()

    def _leave(self, event: LeaveCluster) -> None:
        self.members.leave(self.now)
        self.left = True
        for member in self._there():
            for _ in range(TRIES_WHILE_STOPPING):
                self._send(member.address, SyncRequest(), [self.members.me.rumour()])

    # --- figures --------------------------------------------------------------------------------

    def gauges(self) -> dict[str, float]:
        found = Counter(STATES[member.state] for member in self.members)
        return {f"members_{state}": float(found[state]) for state in STATES} | {
            "distrust": float(self.detector.health),
            "heard": float(sum(heard.counted for heard in self.signals.heard.values())),
            "oldest_signal_ms": self.signals.oldest(self.now),
            "nodes_told_of": float(len(self.signals.sums)),
            "displaced": float(self.members.displaced),
        }
