"""Registry of backends: their entries in the endpoint list, their rings and the balancer's own connections."""

from __future__ import annotations

from yarrowspindle.decisions.backends import MIN_CAPACITY, Backend
from yarrowspindle.decisions.events import Endpoint, EndpointList, EndpointState
from yarrowspindle.decisions.requests import Request
from yarrowspindle.decisions.slow_start import SlowStart
from yarrowspindle.decisions.state import BalancerState


class BackendRegistry:
    """Registry that applies endpoint lists and counts own connections.

    It keeps rings, slow start and estimates consistent.
    """

    def __init__(self, state: BalancerState, slow_start: SlowStart) -> None:
        self.state, self.slow_start = state, slow_start

    def apply(self, event: EndpointList) -> None:
        """Apply an endpoint list. A full or cached list removes backends that it does not contain from the rings."""
        state = self.state
        if not event.kind.is_incremental:
            listed = {entry.backend for entry in event.entries}
            for backend in [b for b in state.fleet_ring.members if b.id not in listed]:
                self.set_ready(backend, False)
        for entry in sorted(event.entries, key=lambda e: e.backend):  # the order of a list must have no effect
            self._apply_entry(entry)
        for ring in (state.local_ring, state.fleet_ring):
            ring.nominal_capacity = max(ring.nominal_capacity, ring.total_capacity)

    def _apply_entry(self, entry: Endpoint) -> None:
        state = self.state
        backend = state.backends.setdefault(entry.backend, Backend(entry.backend))
        # A listed capacity that excludes the present load is too low: the highest one seen is the full capacity.
        known_capacity = backend.capacity if state.settings.capacity_excludes_load else MIN_CAPACITY
        capacity = max(entry.capacity, known_capacity)
        if (backend.zone, backend.capacity) != (entry.zone, capacity):
            self.set_ready(backend, False)  # rings hold sums of capacities: remove it before the change
        backend.zone, backend.cell, backend.capacity = entry.zone, entry.cell, capacity
        if backend.started_ms != entry.started_ms:
            backend.started_ms = entry.started_ms
            backend.reset_process_state()
        self.set_ready(backend, entry.state is EndpointState.READY)

    def set_ready(self, backend: Backend, ready: bool) -> None:
        """Add a backend to its rings or remove it from them; delete one that is neither ready nor in use."""
        state = self.state
        backend.ready = ready
        for ring in (state.local_ring, state.fleet_ring):
            if not ready:
                ring.remove(backend)
            elif ring is state.fleet_ring or backend.zone == state.settings.zone:
                ring.add(backend)
        state.backends[backend.id] = backend
        self.slow_start.on_backend_listed(backend)
        if not ready and not backend.connections:
            self.slow_start.remove_backend(backend.id)
            state.backends.pop(backend.id, None)
            state.observed_backends.pop(backend.id, None)

    def add_connection(self, backend: Backend, request: Request) -> None:
        """Count an attempt or an established connection at its backend."""
        self._count_connection(backend, request, 1)
        self.observe(backend)

    def remove_connection(self, backend: Backend, request: Request) -> None:
        """Remove an ended attempt or connection from its backend's counts."""
        self._count_connection(backend, request, -1)
        if not backend.connections:
            backend.load = 0.0  # discards accumulated rounding errors
            if not backend.ready:
                self.set_ready(backend, False)

    def _count_connection(self, backend: Backend, request: Request, change: int) -> None:
        state = self.state
        backend.connections += change
        state.connections += change
        backend.load += change * request.load
        if state.estimates is not None:
            state.estimates.on_connection_change(backend, request, change, state.now)

    def observe(self, backend: Backend) -> None:
        """Add the backend to the observed ones if it is ready or has own connections."""
        if backend.ready or backend.connections:
            self.state.observed_backends[backend.id] = backend
