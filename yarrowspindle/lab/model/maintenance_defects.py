"""Planted defects of maintenance coordination and its consensus protocol, which the simulation's checks must find.

Each defect is of a kind that a code review may miss. A class overrides the method of the product that holds the
correct behaviour; `DEFECTS` names the defects.
"""

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

# --- acceptor -----------------------------------------------------------------------------------


class BreaksPromises(Acceptor[MaintenanceState]):
    """An acceptor that accepts a proposal with a lower ballot than it has promised."""

    def on_message(
        self, message: Prepare | Accept[MaintenanceState]
    ) -> Promise[MaintenanceState] | Accepted | Rejected[MaintenanceState]:
        if isinstance(message, Accept) and message.identity == self.stored.identity:
            self._store(replace(self.stored, accepted=message.ballot, state=message.state))
            return Accepted(message.ballot, self.stored.identity)
        return super().on_message(message)


class ForgetsPromises(Acceptor[MaintenanceState]):
    """An acceptor that sends promises without storing them."""

    def on_message(
        self, message: Prepare | Accept[MaintenanceState]
    ) -> Promise[MaintenanceState] | Accepted | Rejected[MaintenanceState]:
        if isinstance(message, Prepare) and message.identity == self.stored.identity:
            return Promise(message.ballot, self.stored.identity, self.stored.accepted, self.stored.state)
        return super().on_message(message)


class HidesAcceptedState(Acceptor[MaintenanceState]):
    """An acceptor that sends promises with its initial state instead of the state that it accepted."""

    def __init__(self, stored: AcceptorState[MaintenanceState], store: Any, now_ms: Any) -> None:
        super().__init__(stored, store, now_ms)
        self.initial_state = stored.state

    def on_message(
        self, message: Prepare | Accept[MaintenanceState]
    ) -> Promise[MaintenanceState] | Accepted | Rejected[MaintenanceState]:
        response = super().on_message(message)
        return (
            replace(response, accepted=NO_BALLOT, state=self.initial_state)
            if isinstance(response, Promise)
            else response
        )


# --- proposer -----------------------------------------------------------------------------------


class CountsDuplicateVotes(Proposer[MaintenanceState]):
    """A proposer that counts a duplicate promise or acceptance as that of another acceptor."""

    def _on_promise(
        self, current: ProposalRound[MaintenanceState], source: str, promise: Promise[MaintenanceState]
    ) -> Any:
        duplicate = source in current.promises
        effects = super()._on_promise(current, source, promise)
        if duplicate and current.proposed is None and self.round is current:
            effects = super()._on_promise(current, f"{source} again", promise)
        return effects

    def _on_accepted(self, current: ProposalRound[MaintenanceState], source: str) -> Any:
        if source in current.accepted_by:
            current.accepted_by |= set(list(current.base.voters)[:2])
        return super()._on_accepted(current, source)


class MajorityOffByOne(Proposer[MaintenanceState]):
    """A proposer that takes one acceptor less than a majority as a majority: half of an odd number, rounded down."""

    def _on_promise(
        self, current: ProposalRound[MaintenanceState], source: str, promise: Promise[MaintenanceState]
    ) -> Any:
        if not current.promises and len(current.base.voters) > 1:
            current.promises["nobody"] = replace(promise, accepted=NO_BALLOT, state=self.newest_committed)
        return super()._on_promise(current, source, promise)

    def _on_accepted(self, current: ProposalRound[MaintenanceState], source: str) -> Any:
        current.accepted_by.add(next(name for name in current.base.voters if name != source))
        return super()._on_accepted(current, source)


class ProposesOwnState(Proposer[MaintenanceState]):
    """A proposer that proposes changes to the state that it knows instead of the state in the promises."""

    def _on_promise(
        self, current: ProposalRound[MaintenanceState], source: str, promise: Promise[MaintenanceState]
    ) -> Any:
        return super()._on_promise(current, source, replace(promise, state=self.newest_committed))


class AdoptsOldestPromise(Proposer[MaintenanceState]):
    """A proposer that bases its proposal on the promise with the lowest accepted ballot instead of the highest."""

    def _on_promise(
        self, current: ProposalRound[MaintenanceState], source: str, promise: Promise[MaintenanceState]
    ) -> Any:
        if current.promises:
            oldest = min([*current.promises.values(), promise], key=lambda other: other.accepted)
            current.promises = {name: replace(other, state=oldest.state) for name, other in current.promises.items()}
            promise = replace(promise, state=oldest.state)
        return super()._on_promise(current, source, promise)


class AcceptsEarlierBallots(Proposer[MaintenanceState]):
    """A proposer that counts responses to earlier rounds for the current round."""

    def on_message(self, source: str, message: Any) -> Any:
        if self.round is not None and not isinstance(message, Rejected):
            message = replace(message, ballot=self.round.ballot)
        return super().on_message(source, message)


class CommitsOnProposal(Proposer[MaintenanceState]):
    """A proposer that treats a state as committed as soon as it is proposed."""

    def _on_promise(
        self, current: ProposalRound[MaintenanceState], source: str, promise: Promise[MaintenanceState]
    ) -> Any:
        effects = super()._on_promise(current, source, promise)
        if current.proposed is not None and self.round is current:
            effects = [*effects, Committed(current.proposed, True)]
            self.on_committed(current.proposed)
        return effects


class SkipsVersionCheck(Proposer[MaintenanceState]):
    """A proposer that records the last state that it receives, without comparing versions."""

    def on_committed(self, state: MaintenanceState) -> None:
        self.newest_committed = self.membership_hint = state


# --- maintenance state --------------------------------------------------------------------------


class SkipsOneConfirmation(MaintenanceState, frozen=True):
    """A state that treats a backend as free while one confirmation is missing."""

    def unconfirmed_relays(self, backend: str) -> list[str]:
        return super().unconfirmed_relays(backend)[1:]


class ReusesEvacuationNumbers(MaintenanceState, frozen=True):
    """A state that gives each evacuation the number 1, so that a confirmation of an earlier one counts."""

    def _with_next_evacuation(self, backends: Mapping[str, BackendObservation]) -> MaintenanceState | None:
        granted = super()._with_next_evacuation(backends)
        if granted is None:
            return None
        evacuations = {
            backend: structs.replace(evacuation, number=1) for backend, evacuation in granted.evacuations.items()
        }
        return structs.replace(granted, last_evacuation_number=1, evacuations=evacuations)


def _with_raised_limits(request: MaintenanceRequest) -> MaintenanceRequest:
    return structs.replace(
        request,
        max_unavailable=request.max_unavailable + 1,
        max_unavailable_per_zone=request.max_unavailable_per_zone + 1,
        min_ready_capacity=0.0,
    )


class ExceedsUnavailableLimit(MaintenanceState, frozen=True):
    """A state that evacuates one backend more than the limits of the request allow."""

    def _with_next_evacuation(self, backends: Mapping[str, BackendObservation]) -> MaintenanceState | None:
        requests = {
            request_id: structs.replace(status, request=_with_raised_limits(status.request))
            for request_id, status in self.requests.items()
        }
        granted = structs.replace(self, requests=requests)._unmodified_next_evacuation(backends)
        if granted is None:
            return None
        restored = {
            request_id: structs.replace(status, request=self.requests[request_id].request)
            for request_id, status in granted.requests.items()
        }
        return structs.replace(granted, requests=restored)

    def _unmodified_next_evacuation(self, backends: Mapping[str, BackendObservation]) -> MaintenanceState | None:
        return MaintenanceState._with_next_evacuation(self, backends)


class IgnoresZoneLimit(MaintenanceState, frozen=True):
    """A state that ignores the limit per zone: each backend counts as in a zone of its own."""

    def _with_next_evacuation(self, backends: Mapping[str, BackendObservation]) -> MaintenanceState | None:
        return super()._with_next_evacuation(
            {
                name: replace(observation, zone=1000 + index)
                for index, (name, observation) in enumerate(backends.items())
            }
        )


class InheritsConfirmations(MaintenanceState, frozen=True):
    """A state that keeps the confirmations of earlier evacuations for a new one."""

    def _with_next_evacuation(self, backends: Mapping[str, BackendObservation]) -> MaintenanceState | None:
        granted = super()._with_next_evacuation(backends)
        if granted is None:
            return None
        previous_confirmations = frozenset(
            confirmation for evacuation in self.evacuations.values() for confirmation in evacuation.confirmed_by
        )
        evacuations: dict[str, Evacuation] = {
            backend: structs.replace(evacuation, confirmed_by=evacuation.confirmed_by | previous_confirmations)
            for backend, evacuation in granted.evacuations.items()
        }
        return structs.replace(granted, evacuations=evacuations)


# --- coordinator --------------------------------------------------------------------------------


class ConfirmsWhileUsed(MaintenanceCoordinator):
    """A coordinator that confirms an evacuation while it still has connections to the backend."""

    def _releases(self) -> dict[str, int]:
        return (
            {
                backend: evacuation.number
                for backend, evacuation in self.adopted.evacuations.items()
                if evacuation.stage == EMPTYING
            }
            if self.registered
            else {}
        )


class ConfirmsFromOldObservation(MaintenanceCoordinator):
    """A coordinator that confirms an evacuation by an observation that it made before it adopted the evacuation."""

    def _adopt(self) -> None:
        observed = self.observed_since_adoption
        super()._adopt()
        self.observed_since_adoption = observed


class ConfirmsBeforeAdoption(MaintenanceCoordinator):
    """A coordinator that confirms an evacuation of a state that it has read but not adopted yet."""

    def _confirm_own_releases(self, state: MaintenanceState) -> MaintenanceState | None:
        releases = {
            backend: evacuation.number
            for backend, evacuation in state.evacuations.items()
            if evacuation.stage == EMPTYING and backend not in self.fleet.used_backends
        }
        return state.with_confirmations(self.name, self.incarnation, releases) if releases else None


class AdoptsOlderStates(MaintenanceCoordinator):
    """A coordinator that adopts the last state that it receives, even if it is older than the adopted one."""

    def _adopt(self) -> None:
        if self.state.version != self.adopted.version:
            self.adopted, self.observed_since_adoption = self.state, False
            self.effects.append(StateCommitted(self.state))


class PlacesBeforeRegistration(MaintenanceCoordinator):
    """A coordinator that places connections before it is registered, when it may not know the evacuations."""

    def may_place(self, backend: str) -> bool:
        return not self.state.excludes(backend)


# By the names that tests and benchmarks print.
DEFECTS: dict[str, MaintenanceComponents] = {
    "forgets to sync its file": MaintenanceComponents(discard_acceptor_writes=True),
    "a lost file comes back under its old identity": MaintenanceComponents(reuse_lost_identity=True),
    "accepts below its promise": MaintenanceComponents(acceptor=BreaksPromises),
    "does not keep its promises in mind": MaintenanceComponents(acceptor=ForgetsPromises),
    "does not tell what it accepted": MaintenanceComponents(acceptor=HidesAcceptedState),
    "counts a vote twice": MaintenanceComponents(proposer=CountsDuplicateVotes),
    "majority off by one": MaintenanceComponents(proposer=MajorityOffByOne),
    "changes what it knows, not what is told": MaintenanceComponents(proposer=ProposesOwnState),
    "goes by the oldest promise": MaintenanceComponents(proposer=AdoptsOldestPromise),
    "counts answers of earlier rounds": MaintenanceComponents(proposer=AcceptsEarlierBallots),
    "believes what is only proposed": MaintenanceComponents(proposer=CommitsOnProposal),
    "skips the fence": MaintenanceComponents(proposer=SkipsVersionCheck, coordinator=AdoptsOlderStates),
    "free without one confirmation": MaintenanceComponents(state=SkipsOneConfirmation),
    "numbers are used again": MaintenanceComponents(state=ReusesEvacuationNumbers),
    "one too many out": MaintenanceComponents(state=ExceedsUnavailableLimit),
    "zones are forgotten": MaintenanceComponents(state=IgnoresZoneLimit),
    "inherits confirmations": MaintenanceComponents(state=InheritsConfirmations),
    "confirms while it holds": MaintenanceComponents(coordinator=ConfirmsWhileUsed),
    "confirms by an old look": MaintenanceComponents(coordinator=ConfirmsFromOldObservation),
    "confirms what it has not taken up": MaintenanceComponents(coordinator=ConfirmsBeforeAdoption),
    "places before it has read": MaintenanceComponents(coordinator=PlacesBeforeRegistration),
}
FAULT_SETS = (  # kinds of faults that occur in the same run; a kind listed twice occurs twice
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
