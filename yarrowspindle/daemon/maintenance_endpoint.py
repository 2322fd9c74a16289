"""Turns on real sockets and files: the core on the event loop, its voter on a thread of its own, its word to the
reducer, the operators' calls, figures and log. Off without `[turns]`."""

from __future__ import annotations

import asyncio
import os
import time
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec
from loguru import logger

from yarrowspindle.consensus.register import Acceptor, AcceptorState
from yarrowspindle.daemon.config import Operator
from yarrowspindle.daemon.log import Bounded
from yarrowspindle.daemon.membership_endpoint import MembershipEndpoint
from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.daemon.voter_file import MaintenanceVoterFile, first_state
from yarrowspindle.decisions.events import BACKEND_KEY_MASK, EndpointState
from yarrowspindle.maintenance import codec
from yarrowspindle.maintenance import status_report as report
from yarrowspindle.maintenance.coordinator import (
    AskAcceptor,
    Effect,
    Event,
    FleetObserved,
    MaintenanceCoordinator,
    MessageReceived,
    OperatorCommand,
    SendMessage,
    SetTimer,
    StateCommitted,
    TimerFired,
)
from yarrowspindle.maintenance.evacuation import MaintenancePlan
from yarrowspindle.maintenance.fleet_health import BackendSample, FleetHealth
from yarrowspindle.maintenance.settings import Asking, TurnSettings, read_asking
from yarrowspindle.maintenance.state import EMPTYING, FREE, QUEUED, WARMING, MaintenanceError, MaintenanceState
from yarrowspindle.membership.events import SendPayload
from yarrowspindle.operator_api import OperatorApi
from yarrowspindle.operator_api.http import Answer, BodyRoutes
from yarrowspindle.protocol.fragments import Fragmenter
from yarrowspindle.routing.events import MaintenanceUpdated
from yarrowspindle.storage.durable_file import FileUnavailableError

LOCK_S = 0.2
LOOK_S, HOLDS_S, PARCELS_S = 0.5, 0.15, 0.05
LEAVE_S = 0.6
MAX_VOTES = 256  # that wait for the disk; more are lost, as any message may be
MAX_BODY = 64 * 1024
DEADLINE_S = 120.0  # of a machine whose request is no longer known


class MaintenanceEndpoint:
    """Nothing here is waited for by jobs, but that a process which has not registered places none."""

    def __init__(self, hub: RelayService, peering: MembershipEndpoint, settings: TurnSettings) -> None:
        self.hub, self.peering, self.settings = hub, peering, settings
        self.loop = asyncio.get_running_loop()
        self.name = peering.core.members.local.name
        self.file = MaintenanceVoterFile(settings.directory, self.name, peering.settings.cluster)
        self.first = first_state(settings.voters)
        self.voter: Acceptor[MaintenanceState] | None = None
        seed = int.from_bytes(os.urandom(8), "big")
        self.core = MaintenanceCoordinator(
            self.name, os.urandom(16).hex(), self.first, "", self.first, seed, self._now()
        )
        self.disk = ThreadPoolExecutor(1, "voter")
        self.votes = 0
        self.parcels = Fragmenter(int.from_bytes(os.urandom(6), "big"))
        self.watch = FleetHealth(hub.config.settings.warmup_ms, settings.pressure)
        self.seen: tuple[Any, str] = ({}, "")
        self.looked = 0.0
        self.since: dict[int, float] = {}
        self.task = MaintenancePlan(rate=settings.moves_per_s)
        self.requests = settings.requests
        self.counts: Counter[str] = Counter()
        self.bounded = Bounded(time.monotonic)
        self.tasks: list[asyncio.Task[None]] = []
        self.api: OperatorApi | None = None
        self.closed = False
        hub.metrics.sources["turns"] = self.counts
        hub.metrics.more_gauges.append(self._gauges)
        hub.reloaded.append(self._reloaded)
        peering.driver.on_payload = self._brought

    async def start(self) -> None:
        self.tasks = [self.loop.create_task(self._begin()), self.loop.create_task(self._parcels())]
        if self.settings.command is not None:
            self.api = OperatorApi(
                {"/turns": {"GET": lambda: (200, self._json(self.shown()))}},
                lambda text: logger.error("turns: a call failed: {}", text),
                self._routes(),
                MAX_BODY,
            )
            try:
                await self.api.start(*self.settings.command)
                logger.info("turns: commands are taken at {}:{}", *self.settings.command)
            except OSError as error:
                logger.error("turns: no commands can be taken at {}:{}: {}", *self.settings.command, error)

    async def close(self) -> None:
        """Leaves in good order where nothing is held any more; else the next process of this name, or an operator,
        says that this one has ended."""
        if self.core.registered and not any(connected() for connected in self.hub.connected):
            self._post(OperatorCommand("ended", self.name, self.core.incarnation))
            until = self.loop.time() + LEAVE_S
            while self.core.taken.relays.get(self.name) == self.core.incarnation and self.loop.time() < until:
                await asyncio.sleep(0.02)
        self.closed = True
        for task in self.tasks:
            task.cancel()
        if self.api is not None:
            self.api.close()
        self.disk.shutdown(cancel_futures=True)

    # --- the start ------------------------------------------------------------------------------

    async def _begin(self) -> None:
        """The lock first: until the process before this one has ended, this one places nothing."""
        said = ""
        while why := self.file.unlocked():
            if why != said:
                logger.warning("turns: {}: nothing is placed", why)
            said = why
            await asyncio.sleep(LOCK_S)
        try:
            self._vote_with(await self._loaded())
            self.core.proposer.guide = max(
                self.first, self.voter.kept.state if self.voter else self.first, key=lambda state: state.epoch
            )
        except FileUnavailableError as why:
            if self.name in self.settings.voters:
                logger.warning(
                    "turns: no voter's file in {}: {}; this relay has no voice until the others have taken "
                    "it in (`turns init` makes the first files of all, and is never used after a loss)",
                    self.settings.directory,
                    why,
                )
        self._carry_out(self.core.take_effects())
        while True:
            self._look()
            emptying = any(out.stage == EMPTYING for out in self.core.taken.out.values())
            await asyncio.sleep(HOLDS_S if emptying else LOOK_S)

    async def _loaded(self) -> AcceptorState[MaintenanceState]:
        """Raises NoFile. A disk that cannot be read just now is waited for: what stands there is still owed."""
        said = ""
        while True:
            try:
                return self.file.load()
            except OSError as error:
                if (why := str(error)) != said:
                    logger.warning("turns: the voter's file cannot be read just now: {}: nothing is placed", why)
                said = why
            await asyncio.sleep(LOCK_S)

    def _vote_with(self, kept: AcceptorState[MaintenanceState]) -> None:
        self.voter = Acceptor(kept, self.file.store, self._now)
        self.core.identity = kept.identity
        logger.info(
            "turns: {} has its voter's file, promised {}, accepted state {}",
            self.name,
            kept.promised[0],
            kept.state.version,
        )

    def _made_anew(self) -> str:
        """The new file's identity; empty where it cannot be made."""
        try:
            kept = self.file.make_anew(self.first)
        except OSError as error:
            self.bounded.warn(f"turns: no file can be made in {self.settings.directory}: {error}")
            return ""
        self._vote_with(kept)
        return kept.identity

    # --- the core's sides -----------------------------------------------------------------------

    def _now(self) -> float:
        return self.loop.time() * 1000.0

    def _post(self, event: Event) -> None:
        if self.closed:
            return
        try:
            effects = self.core.step(self._now(), event)
        except Exception:  # jobs are served on; what this relay agreed to stands
            self.counts["failures"] += 1
            logger.exception("turns: the core failed at {}", type(event).__name__)
            effects = self.core.take_effects()
            if isinstance(event, TimerFired):
                effects.append(SetTimer(1000.0, event.what))
        self._carry_out(effects)

    def _carry_out(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                self._send(effect.to, effect.message)
            elif isinstance(effect, SetTimer):
                self.loop.call_later(effect.delay_ms / 1000.0, self._post, TimerFired(effect.what))
            elif isinstance(effect, AskAcceptor):
                self._vote(effect)
            elif isinstance(effect, StateCommitted):
                self._took(effect.state)
            else:
                logger.info("turns: {}", effect.text)

    def _send(self, to: str, message: Any) -> None:
        self.counts["sent"] += 1
        if to == self.name:
            self.loop.call_soon(self._post, MessageReceived(to, message))
            return
        for part in self.parcels.cut(to, codec.encode(message)):
            self.peering.driver.post(SendPayload(to, part))

    def _brought(self, source: str, data: bytes) -> None:
        whole, back = self.parcels.came(self._now(), source, data)
        for part in back:
            self.peering.driver.post(SendPayload(source, part))
        if whole is None:
            return
        try:
            message = codec.decode(whole)
        except codec.InvalidMessageError as why:
            self.counts["dropped"] += 1
            self.bounded.warn(f"turns: a message of {source} is dropped: {why}")
            return
        self._post(MessageReceived(source, message))

    async def _parcels(self) -> None:
        while True:
            await asyncio.sleep(PARCELS_S)
            for source, data in self.parcels.due(self._now()):
                self.peering.driver.post(SendPayload(source, data))

    def _vote(self, vote: AskAcceptor) -> None:
        """On a thread: the disk must not make jobs late. One at a time, in their order."""
        voter = self.voter
        if voter is None or self.votes >= MAX_VOTES:
            return
        self.votes += 1
        self.disk.submit(voter.told, vote.message).add_done_callback(
            lambda done: self.loop.call_soon_threadsafe(self._voted, vote.source, done)
        )

    def _voted(self, source: str, done: Any) -> None:
        self.votes -= 1
        if done.cancelled() or self.closed:
            return
        error = done.exception()
        if error is None:
            self._send(source, done.result())
            return
        self.counts["unwritten"] += 1
        self.bounded.warn(f"turns: the voter's file cannot be written, so nothing is voted: {error}")

    def _took(self, state: MaintenanceState) -> None:
        now = self._now()
        self.since = {o.turn: self.since.get(o.turn, now) for o in state.out.values()}
        if not self.core.identity and self.name in state.voters and state.version > 0:
            self._made_anew()
        off = frozenset(m for m, o in state.out.items() if o.stage != WARMING)
        empty = {
            m: self._deadline_s(state, o.request) if o.stage == EMPTYING else 0.0
            for m, o in state.out.items()
            if o.stage != WARMING
        }
        self.task = MaintenancePlan(
            off if self.core.registered else None,
            empty,
            frozenset(m for m, o in state.out.items() if o.stage == WARMING),
            max(len(state.relays), 1),
            self.settings.moves_per_s,
        )
        self.hub.post(MaintenanceUpdated(self.task))
        self.hub.prober.leave(off)

    @staticmethod
    def _deadline_s(state: MaintenanceState, request: str) -> float:
        known = state.requests.get(request)
        return known.wish.deadline_s if known is not None else DEADLINE_S

    # --- what this relay sees -------------------------------------------------------------------

    def _look(self) -> None:
        reducer, now = self.hub.reducer, self._now()
        if now >= self.looked + 1000.0 * LOOK_S:
            self.looked = now
            avoided, others = reducer.balancer.avoided(reducer.now), reducer.balancer.others.holds
            # By what the list says; what the relays agreed on is laid over it elsewhere.
            looks = [
                BackendSample(
                    name,
                    m.zone,
                    m.capacity,
                    m.state,
                    m.started_ms,
                    backend.number in avoided,
                    len(backend.requests) + others.get(backend.number & BACKEND_KEY_MASK, (0, 0.0))[0],
                )
                for name, backend in reducer.backends.items()
                if (m := backend.listed) is not None
            ]
            counts = self.hub.telemetry.counts
            asked = sum(n for name, n in counts.items() if name.startswith("taken."))
            refused = sum(n for name, n in counts.items() if name.startswith(("busy.", "failure.")))
            if not self.core.registered:  # jobs that were refused since nothing is placed yet are no pressure
                self.watch.counts.clear()
            self.seen = self.watch.look(now, looks, self.core.taken, asked, refused)
        holds: set[str] = set()
        if self.core.taken.out:
            holds = {
                name for name in self.core.taken.out if (n := reducer.backends.get(name)) is not None and n.requests
            }
            for connected in self.hub.connected:  # also such as are only being closed
                holds |= connected()
        self._post(FleetObserved(frozenset(holds), self.seen[0], tuple(self._there()), self.seen[1]))

    def _there(self) -> list[str]:
        return self.peering.core.members.names

    # --- operators ------------------------------------------------------------------------------

    def shown(self) -> dict[str, Any]:
        return report.show(self.core, self._now(), self.since, set(self._there()))

    def _gauges(self) -> dict[str, float]:
        return {f"turns.{name}": value for name, value in report.gauges(self.core, self._now()).items()}

    @staticmethod
    def _json(what: object) -> str:
        return msgspec.json.encode(what).decode() + "\n"

    def _reloaded(self, operator: Operator) -> None:
        """Requests that were not in the file before are asked for, each name once."""
        if operator.turns is None:
            return
        before, self.requests = self.requests, operator.turns.requests
        for asking in self.requests:
            if asking not in before:
                try:
                    wanted = self._ask(asking, -1)
                    logger.info("turns: request {} is asked for by the operator's file", wanted)
                except MaintenanceError as error:
                    logger.error("turns: a request of the operator's file cannot be asked for: {}", error)

    def _ask(self, asking: Asking, since: float) -> str:
        """since below 0: only if it was never asked for."""
        names, backends = self.hub.config.names, self.hub.reducer.backends
        listed = {
            name: backend.listed
            for name, backend in backends.items()
            if backend.listed is not None and backend.listed.state is not EndpointState.GONE
        }
        machines = asking.machines
        if asking.zone or asking.kind:
            known, what = (names.zones, asking.zone) if asking.zone else (names.kinds, asking.kind)
            if what not in known:
                raise MaintenanceError(f"{what!r} is none of {', '.join(known)}")
            number = known.index(what)
            machines = tuple(
                sorted(name for name, m in listed.items() if (m.zone if asking.zone else m.kind) == number)
            )
            if not machines:
                raise MaintenanceError(f"no machine of {what!r} is in the machine list")
        elif unknown := [m for m in machines if m not in listed]:
            raise MaintenanceError(f"not in the machine list: {', '.join(unknown[:8])}")
        wish = asking.wish(machines, {name: m.zone for name, m in listed.items()})
        self._post(OperatorCommand("ask", wish, since))
        return wish.id

    def _routes(self) -> BodyRoutes:
        def call(act: Callable[[dict[str, Any]], object]) -> Callable[[bytes], Answer]:
            def answer(body: bytes) -> Answer:
                try:
                    told = msgspec.json.decode(body or b"{}", type=dict[str, Any])
                    return 200, self._json({"done": act(told), "registered": self.core.registered})
                except (MaintenanceError, msgspec.DecodeError, msgspec.ValidationError) as error:
                    return 409, self._json({"error": str(error)})

            return answer

        acts: dict[str, Callable[[dict[str, Any]], object]] = {
            "ask": lambda told: self._ask(read_asking(told), self.core.state.version),
            "done": lambda told: self._about(told, "done", (FREE,)),
            "give-up": lambda told: self._about(told, "give up", (FREE, WARMING)),
            "cancel": self._cancel,
            "ended": self._ended,
            "pause": self._pause,
            "resume": self._resume,
            "vote": self._want_vote,
            "unvote": self._unvote,
        }
        return {f"/turns/{name}": {"PUT": call(act)} for name, act in acts.items()}

    def _about(self, told: dict[str, Any], kind: str, stages: tuple[str, ...]) -> object:
        machine = self._text(told, "machine")
        out = self.core.state.out.get(machine)
        if out is None:
            raise MaintenanceError(f"{machine} is not out")
        if out.turn != told.get("turn", out.turn):
            raise MaintenanceError(f"{machine} is out by turn {out.turn}, not {told['turn']}")
        if out.stage not in stages:
            waits = report.waits_for(self.core, machine, self._there()) if machine in self.core.taken.out else []
            raise MaintenanceError(f"{machine} is {out.stage}: it waits for {'; '.join(waits)}")
        self._post(OperatorCommand(kind, machine, out.turn))
        return out.turn

    def _cancel(self, told: dict[str, Any]) -> object:
        wanted = self._text(told, "request")
        found = [i for i, r in self.core.state.requests.items() if wanted in (i, r.wish.name) and r.state == QUEUED]
        if len(found) != 1:
            raise MaintenanceError(f"{len(found) or 'no'} open requests are called {wanted}")
        self._post(OperatorCommand("cancel", found[0], self.core.state.requests[found[0]].at))
        return found[0]

    def _ended(self, told: dict[str, Any]) -> object:
        name = self._text(told, "relay")
        incarnation = self.core.state.relays.get(name)
        if incarnation is None:
            raise MaintenanceError(
                f"{name} is not registered; registered are {', '.join(sorted(self.core.state.relays))}"
            )
        if name in self._there() and not told.get("force"):
            raise MaintenanceError(f"{name} is there and answers; one that has ended is wanted")
        self._post(OperatorCommand("ended", name, incarnation))
        return incarnation

    def _pause(self, told: dict[str, Any]) -> object:
        why = str(told.get("why") or "an operator paused them")[:200]
        self._post(OperatorCommand("pause", why))
        return why

    def _resume(self, told: dict[str, Any]) -> object:
        if not self.core.state.paused:
            raise MaintenanceError("turns are not paused")
        self._post(OperatorCommand("resume", self.core.state.paused))
        return self.core.state.paused

    def _want_vote(self, told: dict[str, Any]) -> object:
        """This relay is to be a voter."""
        if self.core.state.version == 0:
            raise MaintenanceError("this relay has not heard from the voters yet")
        if self.name in self.core.state.voters:
            raise MaintenanceError(f"{self.name} is a voter already")
        identity = self.core.identity or self._made_anew()
        if not identity:
            raise MaintenanceError("its file cannot be made; the log says why")
        self._post(OperatorCommand("voter", self.name, identity))
        return self.name

    def _unvote(self, told: dict[str, Any]) -> object:
        name, voters = self._text(told, "relay"), self.core.state.voters
        if name not in voters or len(voters) == 1:
            raise MaintenanceError(f"{name} is not one of several voters: {', '.join(sorted(voters))}")
        self._post(OperatorCommand("no voter", name))
        return name

    @staticmethod
    def _text(told: dict[str, Any], key: str) -> str:
        value = told.get(key)
        if not isinstance(value, str) or not value:
            raise MaintenanceError(f"{key} is missing")
        return value
