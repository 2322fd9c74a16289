"""Defects planted into the agreement on turns, each the kind of thing that a review lets pass; the checker must find
them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from msgspec import structs

from yarrowspindle.consensus.acceptor import Acceptor, AcceptorState
from yarrowspindle.consensus.messages import NO_BALLOT, Accept, Accepted, Prepare, Promise, Rejected
from yarrowspindle.consensus.proposer import Committed, ProposalRound, Proposer
from yarrowspindle.lab.model.maintenance_cluster import MaintenanceComponents
from yarrowspindle.maintenance.coordinator import MaintenanceCoordinator
from yarrowspindle.maintenance.events import StateCommitted
from yarrowspindle.maintenance.requests import MaintenanceRequest
from yarrowspindle.maintenance.state import EMPTYING, BackendObservation, Evacuation, MaintenanceState

# --- the voter ----------------------------------------------------------------------------------


class BreaksPromises(Acceptor[MaintenanceState]):
    """Accepts what is below its promise."""

    def on_message(
        self, message: Prepare | Accept[MaintenanceState]
    ) -> Promise[MaintenanceState] | Accepted | Rejected[MaintenanceState]:
        if isinstance(message, Accept) and message.identity == self.stored.identity:
            self._store(replace(self.stored, accepted=message.ballot, state=message.state))
            return Accepted(message.ballot, self.stored.identity)
        return super().on_message(message)


class PromisesNothing(Acceptor[MaintenanceState]):
    """Promises, and does not keep in mind what."""

    def on_message(
        self, message: Prepare | Accept[MaintenanceState]
    ) -> Promise[MaintenanceState] | Accepted | Rejected[MaintenanceState]:
        if isinstance(message, Prepare) and message.identity == self.stored.identity:
            return Promise(message.ballot, self.stored.identity, self.stored.accepted, self.stored.state)
        return super().on_message(message)


class HidesWhatItAccepted(Acceptor[MaintenanceState]):
    """Promises with the state that it started from."""

    def __init__(self, kept: AcceptorState[MaintenanceState], store: Any, now: Any) -> None:
        super().__init__(kept, store, now)
        self.start = kept.state

    def on_message(
        self, message: Prepare | Accept[MaintenanceState]
    ) -> Promise[MaintenanceState] | Accepted | Rejected[MaintenanceState]:
        answer = super().on_message(message)
        return replace(answer, accepted=NO_BALLOT, state=self.start) if isinstance(answer, Promise) else answer


# --- the proposer -------------------------------------------------------------------------------


class CountsTwice(Proposer[MaintenanceState]):
    """A promise or an acceptance that comes twice counts twice."""

    def _on_promise(self, now: ProposalRound[MaintenanceState], source: str, promise: Promise[MaintenanceState]) -> Any:
        known = source in now.promises
        effects = super()._on_promise(now, source, promise)
        if known and now.proposed is None and self.round is now:
            effects = super()._on_promise(now, f"{source} again", promise)
        return effects

    def _on_accepted(self, now: ProposalRound[MaintenanceState], source: str) -> Any:
        if source in now.accepted_by:
            now.accepted_by |= set(list(now.base.voters)[:2])
        return super()._on_accepted(now, source)


class LessThanHalf(Proposer[MaintenanceState]):
    """A majority is one too few: half of an odd number, rounded down."""

    def _on_promise(self, now: ProposalRound[MaintenanceState], source: str, promise: Promise[MaintenanceState]) -> Any:
        if not now.promises and len(now.base.voters) > 1:
            now.promises["nobody"] = replace(promise, accepted=NO_BALLOT, state=self.newest_committed)
        return super()._on_promise(now, source, promise)

    def _on_accepted(self, now: ProposalRound[MaintenanceState], source: str) -> Any:
        now.accepted_by.add(next(name for name in now.base.voters if name != source))
        return super()._on_accepted(now, source)


class TrustsItself(Proposer[MaintenanceState]):
    """Changes the state that it knows, not the one that the voters tell."""

    def _on_promise(self, now: ProposalRound[MaintenanceState], source: str, promise: Promise[MaintenanceState]) -> Any:
        return super()._on_promise(now, source, replace(promise, state=self.newest_committed))


class TakesTheOldest(Proposer[MaintenanceState]):
    """Of the promises it goes by the lowest ballot."""

    def _on_promise(self, now: ProposalRound[MaintenanceState], source: str, promise: Promise[MaintenanceState]) -> Any:
        if now.promises:
            oldest = min([*now.promises.values(), promise], key=lambda p: p.accepted)
            now.promises = {name: replace(p, state=oldest.state) for name, p in now.promises.items()}
            promise = replace(promise, state=oldest.state)
        return super()._on_promise(now, source, promise)


class AnyBallot(Proposer[MaintenanceState]):
    """An answer to an earlier round counts for this one."""

    def on_message(self, source: str, message: Any) -> Any:
        if self.round is not None and not isinstance(message, Rejected):
            message = replace(message, ballot=self.round.ballot)
        return super().on_message(source, message)


class BelievesTooEarly(Proposer[MaintenanceState]):
    """Takes a state for committed as soon as it is proposed."""

    def _on_promise(self, now: ProposalRound[MaintenanceState], source: str, promise: Promise[MaintenanceState]) -> Any:
        effects = super()._on_promise(now, source, promise)
        if now.proposed is not None and self.round is now:
            effects = [*effects, Committed(now.proposed, True)]
            self.on_committed(now.proposed)
        return effects


class SkipsTheFence(Proposer[MaintenanceState]):
    """Takes up whatever state comes last."""

    def on_committed(self, state: MaintenanceState) -> None:
        self.newest_committed = self.membership_hint = state


# --- the state ----------------------------------------------------------------------------------


class OneTooFew(MaintenanceState, frozen=True):
    """Free though one confirmation is missing."""

    def unconfirmed_relays(self, machine: str) -> list[str]:
        return super().unconfirmed_relays(machine)[1:]


class SameNumber(MaintenanceState, frozen=True):
    """Turns are not numbered anew, and any number confirms."""

    def _with_next_evacuation(self, seen: Mapping[str, BackendObservation]) -> MaintenanceState | None:
        granted = super()._with_next_evacuation(seen)
        if granted is None:
            return None
        out = {m: structs.replace(o, number=1) for m, o in granted.evacuations.items()}
        return structs.replace(granted, last_evacuation_number=1, evacuations=out)


def _one_more(request: MaintenanceRequest) -> MaintenanceRequest:
    return structs.replace(
        request,
        max_unavailable=request.max_unavailable + 1,
        max_unavailable_per_zone=request.max_unavailable_per_zone + 1,
        min_ready_capacity=0.0,
    )


class OneTooMany(MaintenanceState, frozen=True):
    """One more out than allowed."""

    def _with_next_evacuation(self, seen: Mapping[str, BackendObservation]) -> MaintenanceState | None:
        requests = {i: structs.replace(r, request=_one_more(r.request)) for i, r in self.requests.items()}
        granted = structs.replace(self, requests=requests)._plain(seen)
        if granted is None:
            return None
        kept = {i: structs.replace(r, request=self.requests[i].request) for i, r in granted.requests.items()}
        return structs.replace(granted, requests=kept)

    def _plain(self, seen: Mapping[str, BackendObservation]) -> MaintenanceState | None:
        return MaintenanceState._with_next_evacuation(self, seen)


class NoZones(MaintenanceState, frozen=True):
    """The bound of each zone is forgotten."""

    def _with_next_evacuation(self, seen: Mapping[str, BackendObservation]) -> MaintenanceState | None:
        return super()._with_next_evacuation({m: replace(s, zone=1000 + n) for n, (m, s) in enumerate(seen.items())})


class FreeAtOnce(MaintenanceState, frozen=True):
    """A cancelled or later turn inherits the confirmations of the one before."""

    def _with_next_evacuation(self, seen: Mapping[str, BackendObservation]) -> MaintenanceState | None:
        granted = super()._with_next_evacuation(seen)
        if granted is None:
            return None
        before = frozenset(c for o in self.evacuations.values() for c in o.confirmed_by)
        out: dict[str, Evacuation] = {
            m: structs.replace(o, confirmed_by=o.confirmed_by | before) for m, o in granted.evacuations.items()
        }
        return structs.replace(granted, evacuations=out)


# --- the relay ----------------------------------------------------------------------------------


class ConfirmsTooEarly(MaintenanceCoordinator):
    """Confirms while it still holds something there."""

    def _releases(self) -> dict[str, int]:
        return (
            {m: out.number for m, out in self.adopted.evacuations.items() if out.stage == EMPTYING}
            if self.registered
            else {}
        )


class ConfirmsByAnOldLook(MaintenanceCoordinator):
    """Confirms by what it held before it took up the turn."""

    def _adopt(self) -> None:
        looked = self.observed_since_adoption
        super()._adopt()
        self.observed_since_adoption = looked


class ConfirmsUnseen(MaintenanceCoordinator):
    """Confirms a turn that it reads of, before it has taken it up."""

    def _confirm_own_releases(self, state: MaintenanceState) -> MaintenanceState | None:
        mine = {
            m: out.number
            for m, out in state.evacuations.items()
            if out.stage == EMPTYING and m not in self.fleet.used_backends
        }
        return state.with_confirmations(self.name, self.incarnation, mine) if mine else None


class TakesUpWhatComes(MaintenanceCoordinator):
    """Takes up whatever state it hears of last, older ones too."""

    def _adopt(self) -> None:
        if self.state.version != self.adopted.version:
            self.adopted, self.observed_since_adoption = self.state, False
            self.effects.append(StateCommitted(self.state))


class PlacesUnregistered(MaintenanceCoordinator):
    """Places before it has read what is out."""

    def may_place(self, machine: str) -> bool:
        return not self.state.excludes(machine)


DEFECTS: dict[str, MaintenanceComponents] = {
    "forgets to sync its file": MaintenanceComponents(discard_acceptor_writes=True),
    "a lost file comes back under its old identity": MaintenanceComponents(reuse_lost_identity=True),
    "accepts below its promise": MaintenanceComponents(acceptor=BreaksPromises),
    "does not keep its promises in mind": MaintenanceComponents(acceptor=PromisesNothing),
    "does not tell what it accepted": MaintenanceComponents(acceptor=HidesWhatItAccepted),
    "counts a vote twice": MaintenanceComponents(proposer=CountsTwice),
    "majority off by one": MaintenanceComponents(proposer=LessThanHalf),
    "changes what it knows, not what is told": MaintenanceComponents(proposer=TrustsItself),
    "goes by the oldest promise": MaintenanceComponents(proposer=TakesTheOldest),
    "counts answers of earlier rounds": MaintenanceComponents(proposer=AnyBallot),
    "believes what is only proposed": MaintenanceComponents(proposer=BelievesTooEarly),
    "skips the fence": MaintenanceComponents(proposer=SkipsTheFence, coordinator=TakesUpWhatComes),
    "free without one confirmation": MaintenanceComponents(state=OneTooFew),
    "numbers are used again": MaintenanceComponents(state=SameNumber),
    "one too many out": MaintenanceComponents(state=OneTooMany),
    "zones are forgotten": MaintenanceComponents(state=NoZones),
    "inherits confirmations": MaintenanceComponents(state=FreeAtOnce),
    "confirms while it holds": MaintenanceComponents(coordinator=ConfirmsTooEarly),
    "confirms by an old look": MaintenanceComponents(coordinator=ConfirmsByAnOldLook),
    "confirms what it has not taken up": MaintenanceComponents(coordinator=ConfirmsUnseen),
    "places before it has read": MaintenanceComponents(coordinator=PlacesUnregistered),
}
SETS = (
    ("loss",),
    ("loss", "kill"),
    ("split",),
    ("kill", "stall"),
    ("oneway", "double", "reorder"),
    ("lost", "loss"),
    ("cut", "kill", "late"),
    ("mute",),
    ("loss", "double", "reorder", "kill", "stall"),
    ("kill", "kill", "kill", "loss", "late"),
    ("held", "double"),
    ("loss", "loss", "held", "stall", "stall"),
)
