"""What one relay observes of the backends: which are warmed up, and which faults there are. Pure."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.maintenance.state import EMPTYING, WARMING, BackendObservation, MaintenanceState

FAULT_PERIOD_MS = 10_000.0  # for which the death of a backend counts as a fault
REJECTION_WINDOW_MS = 5000.0
MIN_REQUESTS = 20  # in the window, for a share of rejected ones to count
MAX_NAMED_BACKENDS = 3  # in a fault's text


@dataclass(slots=True, frozen=True)
class BackendSample:
    """A backend as the endpoint list has it now.

    started: when its process started, as the list has it. failing: this relay does not place there, because attempts
    failed. connections: as far as this relay knows.
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
    """The backends for the replicated state, and why none should leave now; an empty fault where nothing is wrong."""

    backends: Mapping[str, BackendObservation]
    fault: str


@dataclass(slots=True)
class BackendRecord:
    """A backend as it was last seen. warm_at: when it has warmed up, in milliseconds."""

    state: EndpointState
    started: float
    warm_at: float


@dataclass(slots=True, frozen=True)
class RequestCounts:
    """How many requests were received and rejected since the start, at a time in milliseconds."""

    at: float
    received: int
    rejected: int


class FleetHealth:
    """Assesses the fleet. `warmup_ms` is how long a backend warms up, `max_rejected_fraction` the pressure allowed.

    Backends of the first assessment count as warmed up: a relay that starts cannot know better, and the capacity floor
    of maintenance counts them.
    """

    def __init__(self, warmup_ms: float, max_rejected_fraction: float) -> None:
        self.warmup_ms = warmup_ms
        self.max_rejected_fraction = max_rejected_fraction
        self.backends: dict[str, BackendRecord] = {}
        self.died_at: dict[str, float] = {}
        self.counts: list[RequestCounts] = []  # of the window
        self.assessed = False

    def assess(
        self,
        now: float,
        samples: Iterable[BackendSample],
        state: MaintenanceState,
        received: int = 0,
        rejected: int = 0,
    ) -> FleetAssessment:
        """Return the observations and the fault at a time in milliseconds; counts of requests are since the start."""
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
        """Return the record of the backend, a new one where its process is new."""
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
            record.warm_at = now + self.warmup_ms  # it warms up when it returns, whatever the list has
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
        """Return the text of a fault where too many of the window's requests were rejected, else an empty string."""
        self.counts.append(RequestCounts(now, received, rejected))
        while self.counts[0].at < now - REJECTION_WINDOW_MS:
            self.counts.pop(0)
        oldest = self.counts[0]
        recent_requests = received - oldest.received
        recent_rejections = rejected - oldest.rejected
        if recent_requests < MIN_REQUESTS or recent_rejections <= self.max_rejected_fraction * recent_requests:
            return ""
        return f"the fleet is under pressure: {recent_rejections / recent_requests:.0%} of the jobs were refused"

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
