"""A relay with one planted defect, to verify the soak itself: the oracle has to detect each defect.

`python -m benchmarks.soak.planted NAME` starts the relay with one of its functions replaced. The product contains none
of this: the replacement is made in this process before the relay starts.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from itertools import count
from math import inf
from typing import Any

from yarrowspindle.daemon.main import main
from yarrowspindle.decisions import request_gate as gate
from yarrowspindle.decisions.events import EndpointState, Outcome
from yarrowspindle.decisions.placement import Placement
from yarrowspindle.decisions.settings import Idempotency
from yarrowspindle.fronts import line_front
from yarrowspindle.routing.endpoints import EndpointHandlers
from yarrowspindle.routing.requests import RequestHandlers
from yarrowspindle.routing.termination import OUTCOMES, TerminationReason
from yarrowspindle.transport import client, connector

CLOSE_DELAY_S = 0.02  # between the check for unread data and the close


def repeat_what_ran() -> None:
    """Retry requests of classes that may run only once."""
    gate.retry_window_ms = lambda *arguments: inf


def reset_never_ran() -> None:
    """Treat a connection that was reset after the request was written as one that was never established."""
    OUTCOMES[TerminationReason.CONNECTION_RESET] = Outcome.CONNECT_FAILED


def repeat_late() -> None:
    """Retry keyed requests after the end of their idempotency window."""
    real = gate.retry_window_ms

    def keyed_without_limit(
        idempotency: Idempotency, may_have_run_at: float | None, window_ms: float, margin_ms: float, now: float
    ) -> float:
        if idempotency is Idempotency.KEYED:
            return inf
        return real(idempotency, may_have_run_at, window_ms, margin_ms, now)

    gate.retry_window_ms = keyed_without_limit


def ignore_drains() -> None:
    """Treat draining backends as ready."""
    real = EndpointHandlers.on_endpoints_updated

    def updated(self: EndpointHandlers, event: Any, log_changes: bool = True) -> None:
        for endpoint in event.endpoints:
            if endpoint.state is EndpointState.DRAINING:
                endpoint.state = EndpointState.READY
        real(self, event, log_changes)

    EndpointHandlers.on_endpoints_updated = updated  # type: ignore[method-assign]


def go_on_after_leaving() -> None:
    """Ignore the disconnect of a client whose request waits."""
    client.ClientConnection._report_disconnect = lambda self: None  # type: ignore[method-assign]


def forget_a_request() -> None:
    """Accept one request in fifty without ever processing it."""
    real = line_front.LineFront.request_received

    def request_received(self: line_front.LineFront, side: Any, first_line: Any) -> None:
        if first_line.key % 50:
            real(self, side, first_line)
        else:
            self.limiter.on_request(side)
            side.request = self.service.new_request(self)

    line_front.LineFront.request_received = request_received  # type: ignore[method-assign]


def close_unanswered() -> None:
    """Close the connection of a rejected request without an answer."""
    real = line_front.LineFront._answer

    def answer(self: line_front.LineFront, request: int, line: bytes) -> None:
        real(self, request, b"" if line.startswith(b"BUSY") else line)

    line_front.LineFront._answer = answer  # type: ignore[method-assign]


def flood_cold_servers() -> None:
    """Send all requests to backends in slow start while there are any."""
    gate.slow_start_rejection = lambda probability, draw: None

    def draw_warming_up_backend(self: Placement) -> Any:
        state = self.state
        candidates = self.slow_start.draw_candidates(
            state.now, state.settings, state.fleet_ring, False, state.connections
        )
        return next((backend for backend in candidates if backend.ready), None)

    Placement._warming_up_backend = draw_warming_up_backend  # type: ignore[method-assign]


def late_connections() -> None:
    """Cancel the connecting at its time limit, although the request may have been written: it counts as never sent."""

    class CancellingConnect(connector.Connector):
        async def _connect(self, loop: asyncio.AbstractEventLoop) -> None:
            try:
                connect = loop.create_connection(lambda: self.protocol, *self.address)
                await asyncio.wait_for(connect, self.timeout_s)
            except OSError as error:
                self.failed(connector.ConnectFailure(error))

        def start(self, timeout_s: float | None = None) -> None:
            self.timeout_s = timeout_s
            super().start(None)

    setattr(line_front, "Connector", CancellingConnect)  # noqa: B010  # line_front imports it by name


def end_without_looking() -> None:
    """Close an idle connection some time after the check for unread data; data that arrives in between is not read."""
    real = client.ClientConnection.close_if_idle

    def close_if_idle(self: client.ClientConnection, even_if_unread: bool = False) -> bool:
        if not self.closing:
            self.closing = True
            asyncio.get_running_loop().call_later(CLOSE_DELAY_S, end, self)
        return True

    def end(side: client.ClientConnection) -> None:
        side.closing = False
        real(side, even_if_unread=True)

    client.ClientConnection.close_if_idle = close_if_idle  # type: ignore[method-assign]


def end_newcomers() -> None:
    """Close one connection in ten as it is accepted, without regard to what its client sends."""
    real, numbers = client.ClientConnection.connection_made, count(1)

    def connection_made(self: client.ClientConnection, transport: asyncio.BaseTransport) -> None:
        real(self, transport)
        if next(numbers) % 10 == 0:
            self.close_if_idle(even_if_unread=True)

    client.ClientConnection.connection_made = connection_made  # type: ignore[method-assign]


def end_at_once() -> None:
    """End the process at SIGTERM without informing any client."""
    line_front.LineFront.shut_down = lambda self, deadline_s: asyncio.sleep(0)  # type: ignore[method-assign]
    from yarrowspindle.daemon.relay_service import RelayService

    RelayService.begin_shutdown = lambda self: 50.0  # type: ignore[method-assign]


def answer_late() -> None:
    """Extend each deadline by 900 ms."""
    real = RequestHandlers.on_request_received

    def received(self: RequestHandlers, event: Any) -> None:
        event.remaining_ms += 900.0
        real(self, event)

    RequestHandlers.on_request_received = received  # type: ignore[method-assign]


def ignore_successors() -> None:
    """Let a process that ends serve on beside its successor, whatever the age of its list."""
    line_front.LineFront.successor_listens = lambda self: False  # type: ignore[method-assign]


DEFECTS: dict[str, Callable[[], None]] = {
    defect.__name__: defect
    for defect in (
        repeat_what_ran,
        reset_never_ran,
        repeat_late,
        ignore_drains,
        go_on_after_leaving,
        forget_a_request,
        close_unanswered,
        flood_cold_servers,
        late_connections,
        end_without_looking,
        end_newcomers,
        end_at_once,
        answer_late,
        ignore_successors,
    )
}

if __name__ == "__main__":
    DEFECTS[sys.argv[1]]()
    sys.exit(main())
