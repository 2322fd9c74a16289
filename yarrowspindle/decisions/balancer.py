"""All decisions of a balancer for long-lived connections. Interface: `settings.py`, `events.py`, `actions.py`.

The ordinary path is the two-choice rule of Luczak & McDiarmid, "On the Power of Two Choices: Balls and
Bins in Continuous Time": draw two ready servers, take the one holding fewer of our own open connections.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from random import Random
from typing import Any

from yarrowspindle.decisions.actions import Action, Cancel, Fail, Move, Probe, Refuse, Send, SetTimer, Subscribe
from yarrowspindle.decisions.backends import Job, Loads, Server, SetUps, Trouble, known
from yarrowspindle.decisions.cost_placement import CostPlacement
from yarrowspindle.decisions.events import (
    NEVER_RAN,
    Adopted,
    AttemptEnded,
    ClientGone,
    Due,
    Established,
    Event,
    Levelling,
    ListKind,
    LoadChanged,
    Others,
    Outcome,
    PeerMessage,
    Probed,
    Request,
    Retuned,
    ServerList,
    ServerSlow,
    State,
    TimerDue,
)
from yarrowspindle.decisions.load_estimates import SICK, Estimates
from yarrowspindle.decisions.peer_loads import OthersBook
from yarrowspindle.decisions.rejection import Refusal
from yarrowspindle.decisions.request_gate import may_promise_no_effect
from yarrowspindle.decisions.retries import RetryBudget, least_wait, may_attempt, repeat_group, repeat_within
from yarrowspindle.decisions.settings import Effect, Settings
from yarrowspindle.decisions.slow_start import SlowStart
from yarrowspindle.decisions.weighted_ring import Ring

GOLDEN = (5**0.5 - 1) / 2  # multiples of it spread evenly over a ring, whichever numbers are taken
DEAR = 0.05  # a crossing that costs more of a request's worth than this is worth staying at home for
AWAY = 90.0  # against other zones, in load of all balancers a unit of capacity, where we go by own load
MOVE_PART = 0.8  # chance of a move for a slow note, where the server is the only slow one
SHED = 0.3  # the least of that chance, in a general overload where clients can be told to wait
STRIKES_MOST = 2  # failures in a row that still make the time longer for which a server is passed over
BREAKS, BREAKS_MS = 3, 1000.0  # so many connections that break off within this time are a server's own doing
RETURNED_DRAWS = 16  # for clients that come again while servers are levelled: two seldom find who has room
BEAT_MS = 500.0  # where reports can be had: servers are probed and connections moved on this beat
PROBES, PROBES_MOST = 1.5, 200.0  # that each new connection pays for, and saved up for later
FULL, FULL_PART = 1.1, 0.25  # above this use a server is emptied, a part on each beat
FORGET_MS = 5000.0  # slow notes come once a second; after five that did not come we know nothing any more
TOLD_MS, CALL_MS = 6000.0, 250.0  # the list counts as told so long after it could be had; a call


class Balancer:
    """Event in, actions out. One instance is one balancer; it shares nothing with any other."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings, self.now = settings, now
        self.random, self.tokens, self.asking, self.failures = Random(seed).random, 0, False, 0
        self.start = settings.number * GOLDEN % 1.0
        self.servers: dict[int, Server] = {}
        self.blind = settings.by_own_load or not settings.tells_delay
        self.inner = self.everywhere = Ring[Server](1.0 if self.blind else settings.balancers)
        if settings.cross_zone_price > DEAR:
            self.inner = Ring(settings.balancers / settings.zones)
        self.held_at: dict[int, Server] = {}  # servers that hold something of ours, or are told to be slow
        self.slow_start, self.standing = SlowStart(settings, self.random, now), 0
        self.jobs: dict[int, Job] = {}
        self.others = OthersBook(settings.balancers)
        self.estimates = Estimates(settings, self.others) if settings.may_probe and settings.report else None
        rings = (self.inner, self.everywhere)
        self.costs = CostPlacement(self.estimates, rings, self.random) if self.estimates is not None else None
        self.probes, self.beating = 0.0, False  # that may go out at once
        self.trouble, self.set_up = Trouble(settings.fall_ms / 8.0, now), SetUps()
        self.retries, self.loads = RetryBudget(), Loads()
        self.level = 0.0  # own load for each unit of capacity that servers are levelled to; 0: they are not
        self.held: dict[int, Job] = {}  # requests that wait for a usable server
        self.timers: dict[int, Callable[[], None]] = {}
        self.out: list[Action] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            Request: self._request,
            AttemptEnded: self._ended,
            Established: self._established,
            LoadChanged: self._load_changed,
            ServerSlow: self._slow,
            TimerDue: self._timer,
            ServerList: self._list,
            Adopted: self._adopted,
            ClientGone: self._gone,
            Due: self._gone,
            Probed: self._probed,
            PeerMessage: lambda event: None,
            Retuned: self._retuned,
            Others: self._others,
            Levelling: lambda event: setattr(self, "level", event.level),
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        if now < self.now:
            raise ValueError(f"the clock went back from {self.now} to {now}")
        handler = self.handlers.get(type(event))
        if handler is None:
            raise TypeError(f"not an event: {event!r}")
        self.now, self.out = now, []
        handler(event)
        return self.out

    def _retuned(self, event: Retuned) -> None:
        self.settings = event.settings
        self.others.retuned(event.settings.balancers)
        if self.estimates is not None:
            self.estimates.retuned(event.settings, event.anew)

    def avoided(self, now: float) -> set[int]:
        """The servers that are passed over as failing now: a figure for operators."""
        return {s.id for s in self.servers.values() if now < s.bad_until or s.used >= SICK}

    def drawn(self) -> tuple[list[int], float]:
        """The servers of the ordinary draw, and how many balancers draw each: own loads compare here."""
        ring = self.inner
        return [s.id for s in ring.within(self.start, ring.arc)], max(1.0, ring.sharers * ring.arc)

    # --- server book ----------------------------------------------------------------------------

    def _list(self, event: ServerList) -> None:
        if event.kind is ListKind.FAILED:
            # Ask again, later each time and never all at once: a call that hangs and a wait fit into TOLD_MS.
            self.failures += 1
            self._ask_later(*((0.0, 0.5) if self.failures == 1 else (0.3, 0.6)))
            return
        if event.kind is not ListKind.DELTA:
            listed = {entry.server for entry in event.entries}
            for server in [s for s in self.everywhere.pool if s.id not in listed]:
                self._usable(server, False)
        for entry in sorted(event.entries, key=lambda e: e.server):  # a list's order decides nothing
            server = self.servers.setdefault(entry.server, Server(entry.server))
            # A live weight is lowered by what the server holds: its size is the most that it ever showed.
            capacity = max(entry.capacity, server.capacity if self.settings.live_weights else 1e-6)
            if (server.zone, server.capacity) != (entry.zone, capacity):
                self._usable(server, False)
            server.zone, server.cell, server.capacity = entry.zone, entry.cell, capacity
            if server.started != entry.started_ms:  # a new process: what the old one did says nothing of it
                server.started = entry.started_ms
                server.strikes, server.bad_until, server.slow_until, server.used = 0, -1.0, -1.0, -1.0
            self._usable(server, entry.state is State.READY)
        for ring in (self.inner, self.everywhere):
            ring.usual = max(ring.usual, ring.total)
        if event.kind is ListKind.CACHED:
            self._ask_later(0.0, min(0.8, 1500.0 / min(CALL_MS * max(1, self.settings.balancers), TOLD_MS)))
        else:
            self.failures = 0
        for job in list(self.held.values()):
            self._place(job)
        if self.estimates is not None and not self.beating:
            self.beating = True
            self._beat()

    def _usable(self, server: Server, ready: bool) -> None:
        """On the rings or off them. What is of no use any more is forgotten."""
        server.ready = ready
        for ring in (self.inner, self.everywhere):
            if not ready:
                ring.drop(server)
            elif ring is self.everywhere or server.zone == self.settings.zone:
                ring.put(server)
        self.servers[server.id] = server
        self.slow_start.seen(server)
        if not ready and not server.open:
            self.slow_start.forget(server.id)
            for book in (self.servers, self.held_at):
                book.pop(server.id, None)

    def _hold_on(self, server: Server, job: Job, by: int = 1) -> None:
        """A connection more on the books of its server, or one less (-1)."""
        server.open += by
        self.standing += by
        server.load += by * job.load
        if self.estimates is not None:
            self.estimates.held(server, job, by, self.now)
        if by > 0:
            self._mark(server)
        elif not server.open:
            server.load = 0.0
            if not server.ready:
                self._usable(server, False)

    def _mark(self, server: Server) -> None:
        if server.ready or server.open:  # no longer one of the many that are usable and hold nothing
            self.held_at[server.id] = server

    # --- discovery ------------------------------------------------------------------------------

    def _ask_later(self, least: float, most: float) -> None:
        """Subscribe between these parts of the time in which all can ask in turn; one call at a time."""
        if self.settings.asks and not self.asking:
            self.asking, part = True, least + (most - least) * self.random()
            turns = CALL_MS * (self.settings.balancers + 2 * self.failures)
            self._later(part * min(turns, self.settings.ask_within_ms, TOLD_MS), self._subscribe)

    def _subscribe(self) -> None:
        self.asking = False
        self.out.append(Subscribe())

    # --- placement ------------------------------------------------------------------------------

    def _choose(self, job: Job) -> Server | None:
        """The ordinary path: two ready servers at random, the one with fewer own open connections."""
        inner, outer = self.inner, self.everywhere
        if job.ran_on is not None and self.settings.classes[job.cls].effect is not Effect.SAFE:
            cls, within = self.settings.classes[job.cls], repeat_within(job, self.settings, self.now)
            inner = outer = repeat_group(job, job.ran_on, cls, within, self.everywhere.pool)
        elif (cold := self._feed()) is not None:
            return cold
        if self.costs is not None:
            return self.costs.best(job, self.settings, self.now, (inner, outer))
        # What home is short of goes to all zones, or the first servers back there would get all of it.
        if inner.total < inner.usual and self.random() * inner.usual >= inner.total:
            inner = outer
        # While levelled, more draws find room for who comes again. Groups meet: a server pays for each once.
        level, draws = (self.level, RETURNED_DRAWS) if self.level and job.returned else (0.0, 2)
        alike = job.group and (level or self.settings.groups and not job.attempts)
        best, luck = None, Random(job.group).random if alike else self.random
        for circle, arc in ((inner, inner.arc), (outer, 1.0)):
            for _ in range(draws if circle.size else 0):
                server = circle.draw(luck, 0.0 if alike else self.start, 1.0 if alike else arc)
                if server.started > 0.0 and self.now - server.started < self.settings.cold_ms:
                    continue
                # Unequal servers and connections: own load over capacity stands for the own count.
                if best is None or self._rank(server) < self._rank(best):
                    best = server
                if level and job.group and self._rank(best)[0] == 0 and best.load < level * best.capacity:
                    break  # the first with room: whoever else draws for the group comes to the same one
            # A failing or slow server is passed over while the wider circle may hold a better one. Where
            # nobody tells which is slow, own load must: all zones are drawn from, with AWAY against others.
            if best is not None and self._rank(best)[0] == 0 and not self.blind:
                break
        return best

    def _rank(self, server: Server) -> tuple[int, float]:
        counts, alike = self.others.shares(self.now)
        slow = self.now < server.slow_until or self.others.passed(server)
        dear = self.blind and self.inner is not self.everywhere and server.zone != self.settings.zone
        load = server.load + counts * self.others.load(server) + self.loads.mean
        bad = 2 if self.now < server.bad_until else int(slow)
        return bad, load / server.capacity + (AWAY / alike if dear else 0.0)

    # --- where servers tell their load when they are probed -------------------------------------

    def _beat(self) -> None:
        """Probe who was probed longest ago, as often as new connections pay for, and move who gains by it."""
        costs = self.costs
        self._later(BEAT_MS, self._beat)
        if costs is None:
            return
        ours = (s for s in self.servers.values() if s.ready and self.others.turn(s, self.now))
        for server in sorted(ours, key=lambda s: s.asked_at):
            if self.probes < 1.0 or self.now < server.asked_at + 1.9 * BEAT_MS:
                break
            self.probes, server.asked_at = self.probes - 1.0, self.now
            self.out.append(Probe(server.id))
        self._move_for_gain(costs)

    def _move_for_gain(self, costs: CostPlacement) -> None:
        """Moves who gains by it, the most first: a part of each full server's connections, few others."""
        enough, left = costs.worth_a_move, {-1: self.others.moves(self.now)}  # some from full ones
        gains = [
            (costs.gain(j, j.server, self.settings, self.now), -j.id, j.server)
            for j in self.jobs.values()
            if j.out and j.established and j.owed and j.server is not None
        ]
        gains = sorted((g for g in gains if g[0] > enough), key=lambda g: g[:2], reverse=True)
        for _, number, server in gains:
            quota, job = server.id if server.used > FULL else -1, self.jobs[-number]
            # Looked at anew: who was moved before it will be there by then.
            if left.setdefault(quota, 1 + int(FULL_PART * server.open)) <= 0:
                continue
            if costs.gain(job, server, self.settings, self.now, enough) > enough:
                left[quota] -= 1
                self._move(job)

    def _probed(self, event: Probed) -> None:
        server = self.servers.get(event.server)
        if server is not None and self.estimates is not None:
            silent = event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED)
            self.estimates.told(server, self.now, event.report, silent)

    def _others(self, event: Others) -> None:
        """What other balancers hold, and what their probes brought."""
        self.others.told(event, self.now)
        if self.estimates is not None:
            for server, came, report in self.others.news(event, self.servers, self.now):
                self.estimates.beside(server, came, report, self.now)

    # --- slow start -----------------------------------------------------------------------------

    def _feed(self) -> Server | None:
        """A cold server, as often as our part of the budget of all cold ones that we feed allows."""
        fed = self.everywhere if self.blind else self.inner  # whose cold servers we feed
        home_only = fed is not self.everywhere
        found = self.slow_start.candidates(self.now, self.settings, fed, home_only, self.standing)
        if not found:
            return None
        server = min(found, key=self._rank)
        over_its_share = server.open * fed.usual > self.standing * server.capacity
        if over_its_share and self.slow_start.turns_over(self.now, self.settings, self.standing):
            return None  # the budget is a bound, and need not be used up
        return server if server.ready and self.now >= server.bad_until and server.used < SICK else None

    # --- attempts -------------------------------------------------------------------------------

    def _request(self, event: Request) -> None:
        if event.request in self.jobs:
            raise ValueError(f"request {event.request} has come before")
        if not 0 <= event.cls < len(self.settings.classes):
            raise ValueError(f"request {event.request} has an unknown class: {event.cls}")
        job = Job(event.request, event.cls, self.loads.of(event.load), self.now, event.left_ms)
        job.returned, job.group, job.most = event.returned, event.group, self.settings.max_attempts
        self.probes = min(self.probes + PROBES, PROBES_MOST)
        self.jobs[job.id] = job
        self._place(job)

    def _place(self, job: Job) -> None:
        """Send the request's next attempt, hold it while that can help, or answer it."""
        refused = may_attempt(job, self.settings, self.now)
        server = None if refused else self._choose(job)
        if server is not None and self._hopeless(server, job):
            self._answer(job, Refusal.OVERLOADED)
        elif server is not None:
            self.held.pop(job.id, None)
            job.attempts += 1
            job.server, job.out, job.sent = server, True, self.now
            self._hold_on(server, job)
            self.out.append(Send(job.id, server.id, 0.0, repeat_within(job, self.settings, self.now)))
        elif job.id not in self.held:
            aim = self.settings.classes[job.cls].aim_ms
            self._hold(job, aim / 2.0, job.arrived + aim)

    def _hold(self, job: Job, delay: float, until: float) -> None:
        """Look at the request again after the delay, if it can still be sent then; else answer it now."""
        refused = may_attempt(job, self.settings, self.now)
        left = least_wait(job, self.settings, until, self.now)
        if refused is None and left > self.settings.tick_ms:
            self.held[job.id] = job
            self._later(min(left, delay), lambda: self._place(job) if self.held.pop(job.id, None) else None)
        else:
            self._answer(job, refused or Refusal.NO_SERVER)

    def _hopeless(self, server: Server, job: Job) -> bool:
        """Whether messages there miss the class's aim: the request would earn nothing and cost the others.

        A server where we hold nothing tells us nothing; it is taken to be as most of those where we do. One
        where we hold something and hear nothing is likely well; as trouble spreads it is spared all the same,
        but only where a refused client can be told to wait: else it would be back at once.
        """
        if self.costs is not None:
            return self.costs.cost(server, job, self.settings) > self.settings.classes[job.cls].worth
        if self._misses(server, job):
            return True
        # Set-ups take most of their aim: the store they share has a queue. Fewer wait, more arrive.
        if self.set_up.part > 0.5 and self.random() < min(0.9, 2.0 * self.set_up.part - 1.0):
            return True
        if server.open and not self.settings.retry_after:
            return False
        trouble = self.trouble.share(server.zone, self.held_at, self.now)
        return trouble > 0.0 and self.random() < trouble ** (2 if server.open else 1)

    def _misses(self, server: Server, job: Job) -> bool:
        aim = self.settings.classes[job.cls].message_aim_ms
        return self.now < server.slow_until and 0.0 < aim < server.message_ms  # 0: the class states no aim

    def _answer(self, job: Job, why: Refusal) -> None:
        """The final answer of a request that is not served."""
        cls = self.settings.classes[job.cls]
        harmless = may_promise_no_effect(cls.effect, job.ran_on is not None)
        self._close(job)
        # Refused clients return spread over the second half of the longest wait that they heed.
        wait = self.settings.max_retry_after_ms * (0.5 + 0.5 * self.random())
        refuse = Refuse(job.id, wait * self.settings.retry_after, why)
        self.out.append(refuse if harmless else Fail(job.id, why))

    def _close(self, job: Job) -> None:
        job.owed = False
        self.held.pop(job.id, None)
        if not job.out:
            self.jobs.pop(job.id, None)

    def _adopted(self, event: Adopted) -> None:
        """A connection that was open at our start: counted on the server it is told with."""
        if event.request in self.jobs:
            raise ValueError(f"request {event.request} has come before")
        job = Job(event.request, event.cls, self.loads.of(event.load), self.now, 0.0)
        job.server = self.servers.setdefault(event.server, Server(event.server))
        job.attempts, job.out, job.established, job.group = 1, True, True, event.group
        self.probes = min(self.probes + PROBES, PROBES_MOST)
        self.jobs[job.id] = job
        self._hold_on(job.server, job)

    def _established(self, event: Established) -> None:
        job = known(self.jobs, event.request)
        job.established = True
        self.retries.earn()
        self.set_up.took(min(1.0, event.latency_ms / self.settings.classes[job.cls].aim_ms))
        if job.server is not None:
            job.server.strikes //= 2
            if not job.server.strikes:  # it stands: no reason to pass it over any longer
                job.server.bad_until = -1.0

    def _ended(self, event: AttemptEnded) -> None:
        job = known(self.jobs, event.request)
        server = job.server
        if not job.out or server is None or event.attempt != job.attempts - 1:
            raise ValueError(f"attempt {event.attempt} of request {event.request} is not out")
        job.out = False
        self._hold_on(server, job, -1)
        broke = job.established and event.outcome is Outcome.RESET
        # Whether a server sheds load that it cannot carry (or died, and then refuses connections). One that
        # breaks off says nothing of the others: networks and clients break connections as well.
        dropped = broke and server.broke_off(self.now, BREAKS_MS) >= (BREAKS if self.blind else 1)
        if dropped or not broke and event.outcome not in (Outcome.OK, Outcome.CANCELLED, Outcome.MOOT):
            # Passed over at once, for longer each time it fails again; then a request tries it.
            server.strikes += 1
            rest = max(c.deadline_ms for c in self.settings.classes) * (0.5 + self.random())
            server.bad_until = self.now + rest * 2.0 ** (min(server.strikes, STRIKES_MOST) - 1)
            self._mark(server)
        if not job.established and event.outcome in (Outcome.ERROR, Outcome.TIMEOUT):
            self.set_up.took(1.0)
        if dropped:
            server.slow_until, server.message_ms = self.now + FORGET_MS, inf
            self._mark(server)
        if event.outcome is Outcome.OK:
            self.slow_start.ended.count(self.now)
        if event.outcome not in NEVER_RAN and job.ran_on is None:
            job.ran_on, job.ran_at = server, job.sent
        if event.finished or not job.owed:
            self._close(job)
        elif self.retries.spend(free=event.outcome in (Outcome.CONNECT_FAILED, Outcome.MOOT)):
            self._place(job)
        else:
            # Many fail at once, so what they share fails (a store, say): each further try would feed it.
            aim = self.settings.classes[job.cls].aim_ms
            delay = aim * 2.0 ** (job.attempts - 3) * (0.5 + self.random())
            self._hold(job, delay, job.deadline)

    def _gone(self, event: ClientGone | Due) -> None:
        """The client left, or waits no longer. What we ended a moment ago may be named: nothing to do."""
        job = self.jobs.get(event.request)
        if job is not None and isinstance(event, Due):
            self._answer(job, Refusal.DEADLINE)
        elif job is not None:
            if job.out and not job.established and self.settings.may_cancel:
                self.out.append(Cancel(job.id, job.attempts - 1))
            self._close(job)

    def _load_changed(self, event: LoadChanged) -> None:
        job = self.jobs.get(event.request)
        if job is not None and job.out and job.server is not None:
            before, job.load = job.load, self.loads.of(event.load)
            job.server.load += job.load - before

    def _slow(self, event: ServerSlow) -> None:
        """Told once a second while messages take long; silence means that we no longer know."""
        server, job = self.servers.get(event.server), self.jobs.get(event.request)
        if server is None:
            return
        server.slow_until = self.now + FORGET_MS if event.message_ms > self.settings.slow_ms else -1.0
        server.message_ms = event.message_ms
        self._mark(server)
        if self.estimates is not None:
            return self.estimates.noted(server, event.message_ms, self.now)
        # The last resort, a move: the less, the more of the zone is in trouble and nowhere is better. Where
        # clients can be told to wait some go on even then: one moved is let in only where there is room.
        shed = SHED if self.settings.retry_after else 0.0
        if job is None or not self._misses(server, job):
            return
        # A move is one more set-up: fewer while these take long.
        trouble = self.trouble.share(server.zone, self.held_at, self.now)
        if self.random() < MOVE_PART * max(shed, 1.0 - trouble) * (1.0 - self.set_up.part):
            # The heaviest that we hold there: a move costs the same for each and brings most relief with it.
            if server.open > 1:
                held = (j for j in self.jobs.values() if j.server is server and j.established and j.owed)
                job = max(held, key=lambda j: j.load, default=job)
            self._move(job)

    def _move(self, job: Job) -> None:
        if job.out and job.established and job.owed:
            job.owed = False
            self.out.append(Move(job.id))

    # --- timers ---------------------------------------------------------------------------------

    def _later(self, delay: float, then: Callable[[], None]) -> None:
        self.tokens = self.tokens + 1 & 0xFFFFFFFF
        self.timers[self.tokens] = then
        self.out.append(SetTimer(max(delay, 0.0), self.tokens))

    def _timer(self, event: TimerDue) -> None:
        self.timers.pop(event.token, lambda: None)()
