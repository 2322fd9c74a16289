"""All decisions of a balancer for long-lived connections. Interface: `settings.py`, `events.py`, `actions.py`.

The ordinary path is the two-choice rule of Luczak & McDiarmid, "On the Power of Two Choices: Balls and
Bins in Continuous Time": draw two ready servers, take the one holding fewer of our own open connections.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from random import Random
from typing import Any

from yarrowspindle.decisions.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    MigrateConnection,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from yarrowspindle.decisions.backends import Backend, Loads, Request, SetUps, Trouble, known
from yarrowspindle.decisions.cost_placement import CostPlacement
from yarrowspindle.decisions.events import (
    NEVER_RAN,
    AttemptEnded,
    ClientDisconnected,
    ConnectionEstablished,
    DeadlineReached,
    EndpointList,
    EndpointState,
    Event,
    ExistingConnection,
    HealthCheckCompleted,
    ListKind,
    LoadChanged,
    Outcome,
    PeerLoads,
    PeerMessage,
    RebalancingTarget,
    RequestReceived,
    SettingsChanged,
    SlowMessageObserved,
    TimerFired,
)
from yarrowspindle.decisions.load_estimates import SICK, Estimates
from yarrowspindle.decisions.peer_loads import PeerLoadTable
from yarrowspindle.decisions.rejection import RejectionReason
from yarrowspindle.decisions.request_gate import may_promise_no_effect
from yarrowspindle.decisions.retries import RetryBudget, least_wait, may_attempt, repeat_group, repeat_within
from yarrowspindle.decisions.settings import Idempotency, Settings
from yarrowspindle.decisions.slow_start import SlowStart
from yarrowspindle.decisions.weighted_ring import WeightedRing

GOLDEN = (5**0.5 - 1) / 2  # multiples of it spread evenly over a ring, whichever numbers are taken
DEAR = 0.05  # a crossing that costs more of a request's worth than this is worth staying at home for
AWAY = 90.0  # against other zones, in load of all balancers a unit of capacity, where we go by own load
MOVE_FRACTION = 0.8  # chance of a move for a slow note, where the server is the only slow one
SHED = 0.3  # the least of that chance, in a general overload where clients can be told to wait
MAX_STRIKES = 2  # failures in a row that still make the time longer for which a server is passed over
BREAKS, BREAKS_MS = 3, 1000.0  # so many connections that break off within this time are a server's own doing
RETURNED_DRAWS = 16  # for clients that come again while servers are levelled: two seldom find who has room
BEAT_MS = 500.0  # where reports can be had: servers are probed and connections moved on this beat
PROBES, MAX_PROBES = 1.5, 200.0  # that each new connection pays for, and saved up for later
FULL, FULL_FRACTION = 1.1, 0.25  # above this use a server is emptied, a part on each beat
FORGET_MS = 5000.0  # slow notes come once a second; after five that did not come we know nothing any more
TOLD_MS, CALL_MS = 6000.0, 250.0  # the list counts as told so long after it could be had; a call


class Balancer:
    """Event in, actions out. One instance is one balancer; it shares nothing with any other."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings, self.now = settings, now
        self.random, self.tokens, self.asking, self.failures = Random(seed).random, 0, False, 0
        self.start = settings.number * GOLDEN % 1.0
        self.backends: dict[int, Backend] = {}
        self.blind = settings.uses_own_load or not settings.backend_reports_latency
        self.inner = self.everywhere = WeightedRing[Backend](1.0 if self.blind else settings.balancers)
        if settings.cross_zone_price > DEAR:
            self.inner = WeightedRing(settings.balancers / settings.zones)
        self.held_at: dict[int, Backend] = {}  # servers that hold something of ours, or are told to be slow
        self.slow_start, self.standing = SlowStart(settings, self.random, now), 0
        self.requests: dict[int, Request] = {}
        self.others = PeerLoadTable(settings.balancers)
        self.estimates = (
            Estimates(settings, self.others) if settings.may_probe and settings.load_report_fields else None
        )
        rings = (self.inner, self.everywhere)
        self.costs = CostPlacement(self.estimates, rings, self.random) if self.estimates is not None else None
        self.probes, self.beating = 0.0, False  # that may go out at once
        self.trouble, self.set_up = Trouble(settings.overload_window_ms / 8.0, now), SetUps()
        self.retries, self.loads = RetryBudget(), Loads()
        self.level = 0.0  # own load for each unit of capacity that servers are levelled to; 0: they are not
        self.held: dict[int, Request] = {}  # requests that wait for a usable server
        self.timers: dict[int, Callable[[], None]] = {}
        self.out: list[Action] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            RequestReceived: self._request,
            AttemptEnded: self._ended,
            ConnectionEstablished: self._established,
            LoadChanged: self._load_changed,
            SlowMessageObserved: self._slow,
            TimerFired: self._timer,
            EndpointList: self._list,
            ExistingConnection: self._adopted,
            ClientDisconnected: self._gone,
            DeadlineReached: self._gone,
            HealthCheckCompleted: self._probed,
            PeerMessage: lambda event: None,
            SettingsChanged: self._retuned,
            PeerLoads: self._others,
            RebalancingTarget: lambda event: setattr(self, "level", event.level),
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

    def _retuned(self, event: SettingsChanged) -> None:
        self.settings = event.settings
        self.others.retuned(event.settings.balancers)
        if self.estimates is not None:
            self.estimates.retuned(event.settings, event.reassigned_classes)

    def avoided(self, now: float) -> set[int]:
        """The servers that are passed over as failing now: a figure for operators."""
        return {s.id for s in self.backends.values() if now < s.bad_until or s.used >= SICK}

    def drawn(self) -> tuple[list[int], float]:
        """The servers of the ordinary draw, and how many balancers draw each: own loads compare here."""
        ring = self.inner
        return [s.id for s in ring.within(self.start, ring.arc)], max(1.0, ring.sharers * ring.arc)

    # --- server book ----------------------------------------------------------------------------

    def _list(self, event: EndpointList) -> None:
        if event.kind is ListKind.FAILED:
            # Ask again, later each time and never all at once: a call that hangs and a wait fit into TOLD_MS.
            self.failures += 1
            self._ask_later(*((0.0, 0.5) if self.failures == 1 else (0.3, 0.6)))
            return
        if event.kind is not ListKind.DELTA:
            listed = {entry.backend for entry in event.entries}
            for backend in [s for s in self.everywhere.pool if s.id not in listed]:
                self._usable(backend, False)
        for entry in sorted(event.entries, key=lambda e: e.backend):  # a list's order decides nothing
            backend = self.backends.setdefault(entry.backend, Backend(entry.backend))
            # A live weight is lowered by what the server holds: its size is the most that it ever showed.
            capacity = max(entry.capacity, backend.capacity if self.settings.capacity_excludes_load else 1e-6)
            if (backend.zone, backend.capacity) != (entry.zone, capacity):
                self._usable(backend, False)
            backend.zone, backend.cell, backend.capacity = entry.zone, entry.cell, capacity
            if backend.started != entry.started_ms:  # a new process: what the old one did says nothing of it
                backend.started = entry.started_ms
                backend.strikes, backend.bad_until, backend.slow_until, backend.used = 0, -1.0, -1.0, -1.0
            self._usable(backend, entry.state is EndpointState.READY)
        for ring in (self.inner, self.everywhere):
            ring.usual = max(ring.usual, ring.total)
        if event.kind is ListKind.CACHED:
            self._ask_later(0.0, min(0.8, 1500.0 / min(CALL_MS * max(1, self.settings.balancers), TOLD_MS)))
        else:
            self.failures = 0
        for request in list(self.held.values()):
            self._place(request)
        if self.estimates is not None and not self.beating:
            self.beating = True
            self._beat()

    def _usable(self, backend: Backend, ready: bool) -> None:
        """On the rings or off them. What is of no use any more is forgotten."""
        backend.ready = ready
        for ring in (self.inner, self.everywhere):
            if not ready:
                ring.drop(backend)
            elif ring is self.everywhere or backend.zone == self.settings.zone:
                ring.put(backend)
        self.backends[backend.id] = backend
        self.slow_start.seen(backend)
        if not ready and not backend.open:
            self.slow_start.forget(backend.id)
            for book in (self.backends, self.held_at):
                book.pop(backend.id, None)

    def _hold_on(self, backend: Backend, request: Request, by: int = 1) -> None:
        """A connection more on the books of its server, or one less (-1)."""
        backend.open += by
        self.standing += by
        backend.load += by * request.load
        if self.estimates is not None:
            self.estimates.held(backend, request, by, self.now)
        if by > 0:
            self._mark(backend)
        elif not backend.open:
            backend.load = 0.0
            if not backend.ready:
                self._usable(backend, False)

    def _mark(self, backend: Backend) -> None:
        if backend.ready or backend.open:  # no longer one of the many that are usable and hold nothing
            self.held_at[backend.id] = backend

    # --- discovery ------------------------------------------------------------------------------

    def _ask_later(self, least: float, most: float) -> None:
        """Subscribe between these parts of the time in which all can ask in turn; one call at a time."""
        if self.settings.polls_discovery and not self.asking:
            self.asking, part = True, least + (most - least) * self.random()
            turns = CALL_MS * (self.settings.balancers + 2 * self.failures)
            self._later(part * min(turns, self.settings.poll_interval_ms, TOLD_MS), self._subscribe)

    def _subscribe(self) -> None:
        self.asking = False
        self.out.append(WatchEndpoints())

    # --- placement ------------------------------------------------------------------------------

    def _choose(self, request: Request) -> Backend | None:
        """The ordinary path: two ready servers at random, the one with fewer own open connections."""
        inner, outer = self.inner, self.everywhere
        if request.ran_on is not None and self.settings.classes[request.cls].idempotency is not Idempotency.IDEMPOTENT:
            cls, within = self.settings.classes[request.cls], repeat_within(request, self.settings, self.now)
            inner = outer = repeat_group(request, request.ran_on, cls, within, self.everywhere.pool)
        elif (cold := self._feed()) is not None:
            return cold
        if self.costs is not None:
            return self.costs.best(request, self.settings, self.now, (inner, outer))
        # What home is short of goes to all zones, or the first servers back there would get all of it.
        if inner.total < inner.usual and self.random() * inner.usual >= inner.total:
            inner = outer
        # While levelled, more draws find room for who comes again. Groups meet: a server pays for each once.
        level, draws = (self.level, RETURNED_DRAWS) if self.level and request.returned else (0.0, 2)
        alike = request.group and (level or self.settings.groups_share_work and not request.attempts)
        best, luck = None, Random(request.group).random if alike else self.random
        for circle, arc in ((inner, inner.arc), (outer, 1.0)):
            for _ in range(draws if circle.size else 0):
                backend = circle.draw(luck, 0.0 if alike else self.start, 1.0 if alike else arc)
                if backend.started > 0.0 and self.now - backend.started < self.settings.warmup_ms:
                    continue
                # Unequal servers and connections: own load over capacity stands for the own count.
                if best is None or self._rank(backend) < self._rank(best):
                    best = backend
                if level and request.group and self._rank(best)[0] == 0 and best.load < level * best.capacity:
                    break  # the first with room: whoever else draws for the group comes to the same one
            # A failing or slow server is passed over while the wider circle may hold a better one. Where
            # nobody tells which is slow, own load must: all zones are drawn from, with AWAY against others.
            if best is not None and self._rank(best)[0] == 0 and not self.blind:
                break
        return best

    def _rank(self, backend: Backend) -> tuple[int, float]:
        counts, alike = self.others.shares(self.now)
        slow = self.now < backend.slow_until or self.others.passed(backend)
        dear = self.blind and self.inner is not self.everywhere and backend.zone != self.settings.zone
        load = backend.load + counts * self.others.load(backend) + self.loads.mean
        bad = 2 if self.now < backend.bad_until else int(slow)
        return bad, load / backend.capacity + (AWAY / alike if dear else 0.0)

    # --- where servers tell their load when they are probed -------------------------------------

    def _beat(self) -> None:
        """Probe who was probed longest ago, as often as new connections pay for, and move who gains by it."""
        costs = self.costs
        self._later(BEAT_MS, self._beat)
        if costs is None:
            return
        ours = (s for s in self.backends.values() if s.ready and self.others.turn(s, self.now))
        for backend in sorted(ours, key=lambda s: s.asked_at):
            if self.probes < 1.0 or self.now < backend.asked_at + 1.9 * BEAT_MS:
                break
            self.probes, backend.asked_at = self.probes - 1.0, self.now
            self.out.append(CheckHealth(backend.id))
        self._move_for_gain(costs)

    def _move_for_gain(self, costs: CostPlacement) -> None:
        """Moves who gains by it, the most first: a part of each full server's connections, few others."""
        enough, left = costs.worth_a_move, {-1: self.others.moves(self.now)}  # some from full ones
        gains = [
            (costs.gain(j, j.backend, self.settings, self.now), -j.id, j.backend)
            for j in self.requests.values()
            if j.out and j.established and j.owed and j.backend is not None
        ]
        gains = sorted((g for g in gains if g[0] > enough), key=lambda g: g[:2], reverse=True)
        for _, number, backend in gains:
            quota, request = backend.id if backend.used > FULL else -1, self.requests[-number]
            # Looked at anew: who was moved before it will be there by then.
            if left.setdefault(quota, 1 + int(FULL_FRACTION * backend.open)) <= 0:
                continue
            if costs.gain(request, backend, self.settings, self.now, enough) > enough:
                left[quota] -= 1
                self._move(request)

    def _probed(self, event: HealthCheckCompleted) -> None:
        backend = self.backends.get(event.backend)
        if backend is not None and self.estimates is not None:
            silent = event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED)
            self.estimates.told(backend, self.now, event.report, silent)

    def _others(self, event: PeerLoads) -> None:
        """What other balancers hold, and what their probes brought."""
        self.others.told(event, self.now)
        if self.estimates is not None:
            for backend, came, report in self.others.news(event, self.backends, self.now):
                self.estimates.beside(backend, came, report, self.now)

    # --- slow start -----------------------------------------------------------------------------

    def _feed(self) -> Backend | None:
        """A cold server, as often as our part of the budget of all cold ones that we feed allows."""
        fed = self.everywhere if self.blind else self.inner  # whose cold servers we feed
        home_only = fed is not self.everywhere
        found = self.slow_start.candidates(self.now, self.settings, fed, home_only, self.standing)
        if not found:
            return None
        backend = min(found, key=self._rank)
        over_its_share = backend.open * fed.usual > self.standing * backend.capacity
        if over_its_share and self.slow_start.turns_over(self.now, self.settings, self.standing):
            return None  # the budget is a bound, and need not be used up
        return backend if backend.ready and self.now >= backend.bad_until and backend.used < SICK else None

    # --- attempts -------------------------------------------------------------------------------

    def _request(self, event: RequestReceived) -> None:
        if event.request in self.requests:
            raise ValueError(f"request {event.request} has come before")
        if not 0 <= event.cls < len(self.settings.classes):
            raise ValueError(f"request {event.request} has an unknown class: {event.cls}")
        request = Request(event.request, event.cls, self.loads.of(event.load), self.now, event.left_ms)
        request.returned, request.group, request.most = event.returned, event.group, self.settings.max_attempts
        self.probes = min(self.probes + PROBES, MAX_PROBES)
        self.requests[request.id] = request
        self._place(request)

    def _place(self, request: Request) -> None:
        """Send the request's next attempt, hold it while that can help, or answer it."""
        refused = may_attempt(request, self.settings, self.now)
        backend = None if refused else self._choose(request)
        if backend is not None and self._hopeless(backend, request):
            self._answer(request, RejectionReason.OVERLOADED)
        elif backend is not None:
            self.held.pop(request.id, None)
            request.attempts += 1
            request.backend, request.out, request.sent = backend, True, self.now
            self._hold_on(backend, request)
            self.out.append(StartAttempt(request.id, backend.id, 0.0, repeat_within(request, self.settings, self.now)))
        elif request.id not in self.held:
            aim = self.settings.classes[request.cls].setup_latency_objective_ms
            self._hold(request, aim / 2.0, request.arrived + aim)

    def _hold(self, request: Request, delay: float, until: float) -> None:
        """Look at the request again after the delay, if it can still be sent then; else answer it now."""
        refused = may_attempt(request, self.settings, self.now)
        left = least_wait(request, self.settings, until, self.now)
        if refused is None and left > self.settings.tick_ms:
            self.held[request.id] = request
            self._later(min(left, delay), lambda: self._place(request) if self.held.pop(request.id, None) else None)
        else:
            self._answer(request, refused or RejectionReason.NO_USABLE_BACKEND)

    def _hopeless(self, backend: Backend, request: Request) -> bool:
        """Whether messages there miss the class's aim: the request would earn nothing and cost the others.

        A server where we hold nothing tells us nothing; it is taken to be as most of those where we do. One
        where we hold something and hear nothing is likely well; as trouble spreads it is spared all the same,
        but only where a refused client can be told to wait: else it would be back at once.
        """
        if self.costs is not None:
            return self.costs.cost(backend, request, self.settings) > self.settings.classes[request.cls].priority_weight
        if self._misses(backend, request):
            return True
        # Set-ups take most of their aim: the store they share has a queue. Fewer wait, more arrive.
        if self.set_up.part > 0.5 and self.random() < min(0.9, 2.0 * self.set_up.part - 1.0):
            return True
        if backend.open and not self.settings.retry_after:
            return False
        trouble = self.trouble.share(backend.zone, self.held_at, self.now)
        return trouble > 0.0 and self.random() < trouble ** (2 if backend.open else 1)

    def _misses(self, backend: Backend, request: Request) -> bool:
        aim = self.settings.classes[request.cls].message_latency_objective_ms
        return self.now < backend.slow_until and 0.0 < aim < backend.message_ms  # 0: the class states no aim

    def _answer(self, request: Request, why: RejectionReason) -> None:
        """The final answer of a request that is not served."""
        cls = self.settings.classes[request.cls]
        harmless = may_promise_no_effect(cls.idempotency, request.ran_on is not None)
        self._close(request)
        # Refused clients return spread over the second half of the longest wait that they heed.
        wait = self.settings.max_retry_after_ms * (0.5 + 0.5 * self.random())
        refuse = RejectRequest(request.id, wait * self.settings.retry_after, why)
        self.out.append(refuse if harmless else FailRequest(request.id, why))

    def _close(self, request: Request) -> None:
        request.owed = False
        self.held.pop(request.id, None)
        if not request.out:
            self.requests.pop(request.id, None)

    def _adopted(self, event: ExistingConnection) -> None:
        """A connection that was open at our start: counted on the server it is told with."""
        if event.request in self.requests:
            raise ValueError(f"request {event.request} has come before")
        request = Request(event.request, event.cls, self.loads.of(event.load), self.now, 0.0)
        request.backend = self.backends.setdefault(event.backend, Backend(event.backend))
        request.attempts, request.out, request.established, request.group = 1, True, True, event.group
        self.probes = min(self.probes + PROBES, MAX_PROBES)
        self.requests[request.id] = request
        self._hold_on(request.backend, request)

    def _established(self, event: ConnectionEstablished) -> None:
        request = known(self.requests, event.request)
        request.established = True
        self.retries.earn()
        self.set_up.took(min(1.0, event.latency_ms / self.settings.classes[request.cls].setup_latency_objective_ms))
        if request.backend is not None:
            request.backend.strikes //= 2
            if not request.backend.strikes:  # it stands: no reason to pass it over any longer
                request.backend.bad_until = -1.0

    def _ended(self, event: AttemptEnded) -> None:
        request = known(self.requests, event.request)
        backend = request.backend
        if not request.out or backend is None or event.attempt != request.attempts - 1:
            raise ValueError(f"attempt {event.attempt} of request {event.request} is not out")
        request.out = False
        self._hold_on(backend, request, -1)
        broke = request.established and event.outcome is Outcome.RESET
        # Whether a server sheds load that it cannot carry (or died, and then refuses connections). One that
        # breaks off says nothing of the others: networks and clients break connections as well.
        dropped = broke and backend.broke_off(self.now, BREAKS_MS) >= (BREAKS if self.blind else 1)
        if dropped or not broke and event.outcome not in (Outcome.OK, Outcome.CANCELLED, Outcome.NOT_SENT):
            # Passed over at once, for longer each time it fails again; then a request tries it.
            backend.strikes += 1
            rest = max(c.deadline_ms for c in self.settings.classes) * (0.5 + self.random())
            backend.bad_until = self.now + rest * 2.0 ** (min(backend.strikes, MAX_STRIKES) - 1)
            self._mark(backend)
        if not request.established and event.outcome in (Outcome.ERROR, Outcome.TIMEOUT):
            self.set_up.took(1.0)
        if dropped:
            backend.slow_until, backend.message_ms = self.now + FORGET_MS, inf
            self._mark(backend)
        if event.outcome is Outcome.OK:
            self.slow_start.ended.count(self.now)
        if event.outcome not in NEVER_RAN and request.ran_on is None:
            request.ran_on, request.ran_at = backend, request.sent
        if event.finished or not request.owed:
            self._close(request)
        elif self.retries.spend(free=event.outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)):
            self._place(request)
        else:
            # Many fail at once, so what they share fails (a store, say): each further try would feed it.
            aim = self.settings.classes[request.cls].setup_latency_objective_ms
            delay = aim * 2.0 ** (request.attempts - 3) * (0.5 + self.random())
            self._hold(request, delay, request.deadline)

    def _gone(self, event: ClientDisconnected | DeadlineReached) -> None:
        """The client left, or waits no longer. What we ended a moment ago may be named: nothing to do."""
        request = self.requests.get(event.request)
        if request is not None and isinstance(event, DeadlineReached):
            self._answer(request, RejectionReason.DEADLINE_EXCEEDED)
        elif request is not None:
            if request.out and not request.established and self.settings.may_cancel:
                self.out.append(CancelAttempt(request.id, request.attempts - 1))
            self._close(request)

    def _load_changed(self, event: LoadChanged) -> None:
        request = self.requests.get(event.request)
        if request is not None and request.out and request.backend is not None:
            before, request.load = request.load, self.loads.of(event.load)
            request.backend.load += request.load - before

    def _slow(self, event: SlowMessageObserved) -> None:
        """Told once a second while messages take long; silence means that we no longer know."""
        backend, request = self.backends.get(event.backend), self.requests.get(event.request)
        if backend is None:
            return
        backend.slow_until = self.now + FORGET_MS if event.message_ms > self.settings.slow_message_ms else -1.0
        backend.message_ms = event.message_ms
        self._mark(backend)
        if self.estimates is not None:
            return self.estimates.noted(backend, event.message_ms, self.now)
        # The last resort, a move: the less, the more of the zone is in trouble and nowhere is better. Where
        # clients can be told to wait some go on even then: one moved is let in only where there is room.
        shed = SHED if self.settings.retry_after else 0.0
        if request is None or not self._misses(backend, request):
            return
        # A move is one more set-up: fewer while these take long.
        trouble = self.trouble.share(backend.zone, self.held_at, self.now)
        if self.random() < MOVE_FRACTION * max(shed, 1.0 - trouble) * (1.0 - self.set_up.part):
            # The heaviest that we hold there: a move costs the same for each and brings most relief with it.
            if backend.open > 1:
                held = (j for j in self.requests.values() if j.backend is backend and j.established and j.owed)
                request = max(held, key=lambda j: j.load, default=request)
            self._move(request)

    def _move(self, request: Request) -> None:
        if request.out and request.established and request.owed:
            request.owed = False
            self.out.append(MigrateConnection(request.id))

    # --- timers ---------------------------------------------------------------------------------

    def _later(self, delay: float, then: Callable[[], None]) -> None:
        self.tokens = self.tokens + 1 & 0xFFFFFFFF
        self.timers[self.tokens] = then
        self.out.append(SetTimer(max(delay, 0.0), self.tokens))

    def _timer(self, event: TimerFired) -> None:
        self.timers.pop(event.token, lambda: None)()
