"""Writes a debug log line for each step of each request, from its receipt to its end.

The trace is attached only if the log level includes debug lines, so it has no cost otherwise.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from yarrowspindle.routing.effects import (
    AbortAttempt,
    CloseClientConnection,
    Effect,
    FailRequest,
    ForwardRequest,
    MigrateConnection,
    OpenBackendConnection,
    RejectRequest,
    StartRelaying,
)
from yarrowspindle.routing.events import (
    AttemptEnded,
    BackendAccepted,
    BackendConnected,
    ClientDisconnected,
    Event,
    RequestReceived,
    UnexpectedClientData,
)
from yarrowspindle.telemetry.published_names import reason_name


class Trace:
    """Trace of requests.

    A line starts with `request=`, the client's request id, and `number=`, the relay's number for the request.

    Args:
        write: called with each line.
        describe_list: returns the version and the age of the endpoint list, for the lines of new attempts.
    """

    def __init__(self, write: Callable[[str], None], describe_list: Callable[[], str] = lambda: "") -> None:
        self._write = write
        self._describe_list = describe_list
        self._client_request_ids: dict[int, str] = {}  # by number, of requests that have not ended
        self._retry_reasons: dict[int, str] = {}  # why the request's last attempt ended
        self._handlers: dict[type, Callable[[Any], None]] = {
            RequestReceived: self._on_request_received,
            BackendConnected: self._on_backend_connected,
            BackendAccepted: self._on_backend_accepted,
            AttemptEnded: self._on_attempt_ended,
            UnexpectedClientData: self._on_unexpected_client_data,
            ClientDisconnected: self._on_client_disconnected,
            OpenBackendConnection: self._on_open_backend_connection,
            ForwardRequest: self._on_forward_request,
            AbortAttempt: self._on_abort_attempt,
            StartRelaying: self._on_start_relaying,
            RejectRequest: self._on_reject_request,
            FailRequest: self._on_fail_request,
            MigrateConnection: self._on_migrate_connection,
            CloseClientConnection: self._on_close_client_connection,
        }

    @property
    def open_requests(self) -> int:
        """The number of requests whose ids or retry reasons are kept."""
        return len(self._client_request_ids.keys() | self._retry_reasons.keys())

    def on_event(self, event: Event) -> None:
        """Write a line for the event if it is a step of a request."""
        self._dispatch(event)

    def on_effect(self, effect: Effect) -> None:
        """Write a line for the effect if it is a step of a request."""
        self._dispatch(effect)

    def _dispatch(self, step: Event | Effect) -> None:
        handler = self._handlers.get(type(step))
        if handler is not None:
            handler(step)

    # --- events -----------------------------------------------------------------------------------

    def _on_request_received(self, event: RequestReceived) -> None:
        self._client_request_ids[event.request] = event.client_request_id or str(event.request)
        self._line(
            event.request,
            f"received class={event.request_class} tenant={event.tenant} remaining_ms={event.remaining_ms:.0f}",
        )

    def _on_backend_connected(self, event: BackendConnected) -> None:
        self._line(event.request, f"attempt={event.attempt} connected")

    def _on_backend_accepted(self, event: BackendAccepted) -> None:
        self._line(event.request, f"attempt={event.attempt} accepted")

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        self._retry_reasons[event.request] = reason_name(event.reason)
        self._line(event.request, f"attempt={event.attempt} ended reason={reason_name(event.reason)}")

    def _on_unexpected_client_data(self, event: UnexpectedClientData) -> None:
        self._line(event.request, "unexpected client data")

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        self._line(event.request, "client disconnected")
        self._forget(event.request)

    # --- effects ----------------------------------------------------------------------------------

    def _on_open_backend_connection(self, effect: OpenBackendConnection) -> None:
        retry_reason = self._retry_reasons.pop(effect.request, "")
        suffix = f" retry_reason={retry_reason}" if retry_reason else ""
        used_list = self._describe_list()
        suffix += f" {used_list}" if used_list else ""
        self._line(effect.request, f"attempt={effect.attempt} connecting backend={effect.backend}{suffix}")

    def _on_forward_request(self, effect: ForwardRequest) -> None:
        self._line(effect.request, f"attempt={effect.attempt} forwarded remaining_ms={effect.remaining_ms:.0f}")

    def _on_abort_attempt(self, effect: AbortAttempt) -> None:
        self._retry_reasons[effect.request] = reason_name(effect.reason)
        self._line(effect.request, f"attempt={effect.attempt} aborted reason={reason_name(effect.reason)}")

    def _on_start_relaying(self, effect: StartRelaying) -> None:
        self._line(effect.request, "established")

    def _on_reject_request(self, effect: RejectRequest) -> None:
        self._end(effect, f"rejected reason={reason_name(effect.reason)} retry_after_ms={effect.retry_after_ms:.0f}")

    def _on_fail_request(self, effect: FailRequest) -> None:
        self._end(effect, f"failed reason={reason_name(effect.reason)}")

    def _on_migrate_connection(self, effect: MigrateConnection) -> None:
        self._end(effect, f"migrated reason={reason_name(effect.reason)}")

    def _on_close_client_connection(self, effect: CloseClientConnection) -> None:
        self._end(effect, f"closed reason={reason_name(effect.reason)}")

    # --- lines ------------------------------------------------------------------------------------

    def _line(self, request: int, text: str) -> None:
        self._write(f"request={self._client_request_ids.get(request, '?')} number={request} {text}")

    def _end(self, effect: RejectRequest | FailRequest | MigrateConnection | CloseClientConnection, text: str) -> None:
        self._line(effect.request, text)
        self._forget(effect.request)

    def _forget(self, request: int) -> None:
        self._client_request_ids.pop(request, None)
        self._retry_reasons.pop(request, None)
