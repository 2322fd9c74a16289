"""Health of the fleet as one relay observes it: which backends are ready and warm, and which faults exist.

Without I/O. A fault pauses maintenance.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.maintenance.state import EMPTYING, WARMING, BackendObservation, MaintenanceState

FAULT_PERIOD_MS = 10_000.0  # during which the death of a backend counts as a fault
REJECTION_WINDOW_MS = 5000.0
MIN_REQUESTS = 20  # in the window, for the rejected fraction to be meaningful
MAX_NAMED_BACKENDS = 3  # in the text of a fault


@dataclass(slots=True, frozen=True)
class BackendSample:
    """Backend in the current endpoint list.

    Attributes:
        name: name of the backend.
        zone: number of its zone.
        capacity: capacity in the units of the endpoint list.
        state: state in the endpoint list.
        started: start time of its process according to the list.
        failing: whether this relay has ejected it because attempts failed.
        connections: number of its connections that this relay knows of.
    """

    name: str
    zone: int
    capacity: float
    state: EndpointState
    started: float
    failing: bool = False
    connections: int = 0


@dataclass(slots=True, frozen=True)
class FleetAssessment:
    """Result of an assessment.

    Attributes:
        backends: observations by backend, as input to changes of the replicated state.
        fault: why no backend should be evacuated now; empty if there is no fault.
    """

    backends: Mapping[str, BackendObservation]
    fault: str


@dataclass(slots=True)
class BackendRecord:
    """Last observation of a backend.

    Attributes:
        state: state in the endpoint list.
        started: start time of its process according to the list.
        warm_at: time in milliseconds when it has warmed up.
    """

    state: EndpointState
    started: float
    warm_at: float


@dataclass(slots=True, frozen=True)
class RequestCounts:
    """Numbers of requests received and rejected since the start of the relay; `at` is a time in milliseconds."""

    at: float
    received: int
    rejected: int


class FleetHealth:
    """Observer of the fleet's health.

    Backends of the first assessment count as warm: a relay that starts cannot know when their warm-up began, and only
    warm backends count towards the capacity floor.

    Args:
        warmup_ms: duration of a backend's warm-up.
        max_rejected_fraction: fraction of rejected requests above which there is a fault.
    """

    def __init__(self, warmup_ms: float, max_rejected_fraction: float) -> None:
        self.warmup_ms = warmup_ms
        self.max_rejected_fraction = max_rejected_fraction
        self.backends: dict[str, BackendRecord] = {}
        self.died_at: dict[str, float] = {}
        self.counts: list[RequestCounts] = []  # within REJECTION_WINDOW_MS
        self.assessed = False

    def assess(
        self,
        now: float,
        samples: Iterable[BackendSample],
        state: MaintenanceState,
        received: int = 0,
        rejected: int = 0,
    ) -> FleetAssessment:
        """Return the observations of the backends and the current fault.

        Args:
            now: current time in milliseconds.
            samples: backends of the endpoint list.
            state: replicated state of maintenance.
            received: requests received since the start of the relay.
            rejected: requests rejected since the start of the relay.
        """
        observations: dict[str, BackendObservation] = {}
        failing: list[str] = []
        for sample in samples:
            record = self._record(now, sample)
            self._update_record(now, record, sample, state)
            listed_ready = sample.state is EndpointState.READY
            if sample.failing and listed_ready and sample.name not in state.evacuations:
                failing.append(sample.name)
            if sample.state is not EndpointState.GONE:
                ready = listed_ready and now >= record.warm_at and not sample.failing
                observations[sample.name] = BackendObservation(sample.zone, sample.capacity, ready, sample.connections)
        self._mark_unlisted_gone(now, observations.keys(), state)
        self.assessed = bool(self.backends)
        self._expire_deaths(now)
        rejection_fault = self._rejection_fault(now, received, rejected)
        return FleetAssessment(observations, self._fault(failing, rejection_fault))

    def _record(self, now: float, sample: BackendSample) -> BackendRecord:
        """Return the record of the backend, a new one if its process is new."""
        record = self.backends.get(sample.name)
        if record is None or record.started != sample.started or record.state is EndpointState.GONE:
            warms_up = self.assessed and sample.state is EndpointState.READY
            record = BackendRecord(sample.state, sample.started, now + self.warmup_ms if warms_up else now)
            self.backends[sample.name] = record
        return record

    def _update_record(self, now: float, record: BackendRecord, sample: BackendSample, state: MaintenanceState) -> None:
        evacuation = state.evacuations.get(sample.name)
        out_of_service = evacuation is not None and evacuation.stage != WARMING
        if out_of_service:
            record.warm_at = now + self.warmup_ms  # it warms up after its return, even if its process is the same
        in_use = not out_of_service or (evacuation is not None and evacuation.stage == EMPTYING)
        if in_use and record.state is EndpointState.READY and sample.state is EndpointState.GONE:
            self.died_at[sample.name] = now
        record.state = sample.state

    def _mark_unlisted_gone(self, now: float, listed: Collection[str], state: MaintenanceState) -> None:
        for name in self.backends.keys() - set(listed):
            record = self.backends[name]
            evacuation = state.evacuations.get(name)
            in_use = evacuation is None or evacuation.stage == EMPTYING
            if in_use and record.state is EndpointState.READY:
                self.died_at[name] = now
            record.state = EndpointState.GONE

    def _expire_deaths(self, now: float) -> None:
        expired = [name for name, died_at in self.died_at.items() if now >= died_at + FAULT_PERIOD_MS]
        for name in expired:
            del self.died_at[name]
            if self.backends[name].state is EndpointState.GONE:
                del self.backends[name]

    def _rejection_fault(self, now: float, received: int, rejected: int) -> str:
        """Return a fault if too many requests in the window were rejected, else an empty string."""
        self.counts.append(RequestCounts(now, received, rejected))
        while self.counts[0].at < now - REJECTION_WINDOW_MS:
            self.counts.pop(0)
        oldest = self.counts[0]
        recent_requests = received - oldest.received
        recent_rejections = rejected - oldest.rejected
        if recent_requests < MIN_REQUESTS or recent_rejections <= self.max_rejected_fraction * recent_requests:
            return ""
        return f"overload: {recent_rejections / recent_requests:.0%} of recent requests were rejected"

    def _fault(self, failing: Collection[str], rejection_fault: str) -> str:
        if self.died_at:
            return f"{_list_names(self.died_at)} died"
        if failing:
            return f"{_list_names(failing)} {'fails' if len(failing) == 1 else 'fail'}"
        return rejection_fault


def _list_names(names: Collection[str]) -> str:
    listed = ", ".join(sorted(names)[:MAX_NAMED_BACKENDS])
    if len(names) > MAX_NAMED_BACKENDS:
        return f"{listed} and {len(names) - MAX_NAMED_BACKENDS} more"
    return listed
