"""Adapter between the simulator's wire format and isolated balancers, one for each of its instances.

It translates frames and records only; all decisions are those of the balancers.
"""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable, Mapping
from typing import BinaryIO, TypeVar

from yarrowspindle.decisions.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    LogMessage,
    MigrateConnection,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from yarrowspindle.decisions.balancer import Balancer
from yarrowspindle.decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionEstablished,
    Endpoint,
    EndpointList,
    EndpointState,
    Event,
    ExistingConnection,
    HealthCheckCompleted,
    ListKind,
    LoadChanged,
    Outcome,
    PeerMessage,
    RequestReceived,
    SlowMessageObserved,
    TimerFired,
)
from yarrowspindle.protocol.platform_settings import SettingsError, read_settings
from yarrowspindle.simulator import wire

T = TypeVar("T")
STATES = {1: EndpointState.READY, 0: EndpointState.DRAINING, 3: EndpointState.GONE}
LIST_KINDS = {0: ListKind.DELTA, 1: ListKind.FULL, 2: ListKind.CACHED, 3: ListKind.FAILED}
OUTCOMES = {
    100: Outcome.OK,
    301: Outcome.ERROR,
    302: Outcome.REJECTED,
    303: Outcome.TIMEOUT,
    304: Outcome.CONNECT_FAILED,
    305: Outcome.RESET,
    306: Outcome.CANCELLED,
    307: Outcome.NOT_SENT,
}
# Flags of a DEMAND or ADOPTED record.
FLAG_LOAD_HINT = 1
FLAG_REPEATED = 2
FLAG_MID_FLOW = 8
FLAG_RETURNED = 16

# Kinds of SIGNAL records.
SIGNAL_LOAD = 1
SIGNAL_SLOW_MESSAGE = 2
MICROSECONDS_PER_MS = 1000.0

EXIT_WIRE_ERROR = 2
NO_INSTANCE = -1


def encode(action: Action) -> bytes:  # noqa: PLR0911  # a return for each action
    """Return an action as a record."""
    if isinstance(action, StartAttempt):
        return wire.ROUTE.pack(wire.ROUTE_CODE, 16, action.request, action.backend, action.timeout_ms)
    if isinstance(action, SetTimer):
        return wire.NOTIFY_ME.pack(wire.NOTIFY_ME_CODE, 12, action.delay_ms, action.token)
    if isinstance(action, RejectRequest):
        return wire.BOUNCE.pack(wire.BOUNCE_CODE, 12, action.request, action.retry_after_ms)
    if isinstance(action, FailRequest):
        return wire.ONE_ID.pack(wire.GIVE_UP_CODE, 4, action.request)
    if isinstance(action, MigrateConnection):
        return wire.ONE_ID.pack(wire.RELOCATE_CODE, 4, action.request)
    if isinstance(action, CancelAttempt):
        return wire.UNDO_SEND.pack(wire.UNDO_SEND_CODE, 6, action.request, action.attempt)
    if isinstance(action, CheckHealth):
        return wire.ONE_ID.pack(wire.ASK_LOAD_CODE, 4, action.backend)
    if isinstance(action, WatchEndpoints):
        return wire.LISTEN.pack(wire.LISTEN_CODE, 1, int(action.on))
    if isinstance(action, LogMessage):
        return wire.pack_text(wire.JOURNAL_LINE_CODE, action.text)
    raise TypeError(f"no such action: {action!r}")


def lookup(table: Mapping[int, T], code: int, description: str) -> T:
    """Return the value of a code.

    Args:
        table: The values by their codes.
        code: The code.
        description: The kind of code, for the error.

    Raises:
        WireError: The code is unknown.
    """
    try:
        return table[code]
    except KeyError:
        raise wire.WireError(f"unknown {description}: {code}") from None


def read_members(body: bytes, offset: int, end: int) -> Event:
    """Decode a MEMBERS record, an endpoint list."""
    list_kind, version, count = wire.unpack_fields(wire.MEMBERS_HEADER, body, offset, end)
    offset += wire.MEMBERS_HEADER.size
    if offset + count * wire.MEMBERS_ENTRY.size > end:
        raise wire.WireError(f"MEMBERS record truncated: {end - offset} bytes for {count} entries")
    entries = [
        Endpoint(backend, zone, cell, lookup(STATES, state, "endpoint state"), capacity, started_ms, kind)
        for backend, zone, kind, cell, state, capacity, started_ms in wire.MEMBERS_ENTRY.iter_unpack(
            body[offset : offset + count * wire.MEMBERS_ENTRY.size]
        )
    ]
    return EndpointList(lookup(LIST_KINDS, list_kind, "kind of endpoint list"), entries, version)


def read_demand(body: bytes, offset: int, end: int) -> Event:
    """Decode a DEMAND record, a new request."""
    request, cls, tenant, key, remaining_ms, load_hint, group, flags = wire.unpack_fields(
        wire.DEMAND_BODY, body, offset, end
    )
    return RequestReceived(
        request,
        cls,
        tenant,
        key,
        remaining_ms,
        load_hint if flags & FLAG_LOAD_HINT else 0.0,
        group,
        bool(flags & FLAG_REPEATED),
        bool(flags & FLAG_MID_FLOW),
        bool(flags & FLAG_RETURNED),
    )


def read_adopted(body: bytes, offset: int, end: int) -> Event:
    """Decode an ADOPTED record, a connection that existed when the instance started."""
    request, load_hint, _, key, backend, group, tenant, flags, cls = wire.unpack_fields(
        wire.ADOPTED_BODY, body, offset, end
    )
    return ExistingConnection(request, backend, cls, tenant, key, load_hint if flags & FLAG_LOAD_HINT else 0.0, group)


def read_started(body: bytes, offset: int, end: int) -> Event:
    """Decode a STARTED record, an established attempt."""
    request, attempt, latency_ms, backend = wire.unpack_fields(wire.STARTED_BODY, body, offset, end)
    return ConnectionEstablished(request, attempt, backend, latency_ms)


def read_done(body: bytes, offset: int, end: int) -> Event:
    """Decode a DONE record, the end of an attempt."""
    request, attempt, backend, finished, code, latency_ms, value_count = wire.unpack_fields(
        wire.DONE_BODY, body, offset, end
    )
    wire.unpack_load_report(
        body, offset + wire.DONE_BODY.size, end, value_count
    )  # checks that it is complete; its values are not used
    return AttemptEnded(request, attempt, backend, lookup(OUTCOMES, code, "outcome"), bool(finished), latency_ms)


def read_timed_out_client(body: bytes, offset: int, end: int) -> Event:
    """Decode a TIMED_OUT_CLIENT record, a client that disconnected."""
    return ClientDisconnected(wire.unpack_fields(wire.U32, body, offset, end)[0])


def read_wakeup(body: bytes, offset: int, end: int) -> Event:
    """Decode a WAKEUP record, a timer that fired."""
    return TimerFired(wire.unpack_fields(wire.U32, body, offset, end)[0])


def read_health(body: bytes, offset: int, end: int) -> Event:
    """Decode a HEALTH record, the result of a health check."""
    backend, code, latency_ms, value_count = wire.unpack_fields(wire.HEALTH_BODY, body, offset, end)
    return HealthCheckCompleted(
        backend,
        lookup(OUTCOMES, code, "outcome"),
        latency_ms,
        wire.unpack_load_report(body, offset + wire.HEALTH_BODY.size, end, value_count),
    )


def read_message(body: bytes, offset: int, end: int) -> Event:
    """Decode a MESSAGE record, a message from another balancer."""
    sender, size = wire.unpack_fields(wire.MESSAGE_HEADER, body, offset, end)
    offset += wire.MESSAGE_HEADER.size
    if offset + size > end:
        raise wire.WireError(f"MESSAGE record truncated: got {end - offset} of {size} bytes")
    return PeerMessage(sender, body[offset : offset + size])


def read_signal(body: bytes, offset: int, end: int) -> Event | None:
    """Decode a SIGNAL record, a load or a slow message; return None for any other kind of signal."""
    request, backend, signal_kind, value, _ = wire.unpack_fields(wire.SIGNAL_BODY, body, offset, end)
    if signal_kind == SIGNAL_LOAD:
        return LoadChanged(request, backend, value / MICROSECONDS_PER_MS)  # sent in microseconds of work per second
    return SlowMessageObserved(request, backend, value) if signal_kind == SIGNAL_SLOW_MESSAGE else None


READERS: dict[int, Callable[[bytes, int, int], Event | None]] = {
    wire.MEMBERS: read_members,
    wire.DEMAND: read_demand,
    wire.STARTED: read_started,
    wire.DONE: read_done,
    wire.TIMED_OUT_CLIENT: read_timed_out_client,
    wire.WAKEUP: read_wakeup,
    wire.HEALTH: read_health,
    wire.MESSAGE: read_message,
    wire.ADOPTED: read_adopted,
    wire.SIGNAL: read_signal,
}


class Instances:
    """All instances of one process, which have a balancer each and share no state.

    Attributes:
        balancers: The balancers by the number of their instance.
        current: The number of the instance whose events are being handled.
    """

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.current = 0

    def handle_frame(self, now_ms: float, body: bytes, count: int) -> list[bytes]:
        """Handle the records of a frame and return the records of the reply.

        Args:
            now_ms: The simulator's time in milliseconds.
            body: The records.
            count: The number of records.

        Raises:
            WireError: A record is malformed, or for an instance that does not exist.
            SettingsError: The settings of a new instance are invalid.
            Exception: Any exception of a balancer.
        """
        reply_records: list[bytes] = []
        instance = NO_INSTANCE
        reply_instance = NO_INSTANCE  # the instance of the last actions in the reply
        balancer: Balancer | None = None
        self.current = 0
        for code, offset, end in wire.iterate_records(body, count):
            if code == wire.INSTANCE:
                instance = wire.unpack_fields(wire.U32, body, offset, end)[0]
                self.current = instance
                balancer = self.balancers.get(instance)
                continue
            reader = READERS.get(code)
            if reader is None:
                if code == wire.CREATE:
                    balancer = self._create(now_ms, instance, body, offset, end)
                elif code == wire.KILL:
                    self.balancers.pop(instance, None)
                    balancer = None
                continue  # skip any other record by its length: it belongs to a newer version of the wire format
            if balancer is None:
                raise wire.WireError(f"event {code} for instance {instance}, which has not been created")
            event = reader(body, offset, end)
            actions = balancer.handle(now_ms, event) if event is not None else ()
            if actions:
                if reply_instance != instance:
                    reply_records.append(wire.SPEAKING.pack(wire.SPEAKING_CODE, 4, instance))
                    reply_instance = instance
                reply_records.extend(map(encode, actions))
        return reply_records

    def _create(self, now_ms: float, instance: int, body: bytes, offset: int, end: int) -> Balancer:
        create = wire.read_create(body, offset, end)
        try:
            settings = read_settings(create.settings)
        except ValueError as error:
            raise SettingsError(str(error)) from error
        balancer = self.balancers[instance] = Balancer(settings, create.seed, now_ms)
        return balancer


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the source ends.

    Raises:
        WireError: A frame is malformed.
        SettingsError: The settings of a new instance are invalid.
    """
    instances = Instances()
    while header := source.read(wire.FRAME_HEADER.size):
        if len(header) < wire.FRAME_HEADER.size:
            raise wire.WireError(f"frame header truncated: got {len(header)} of {wire.FRAME_HEADER.size} bytes")
        number, size, count, now_ms = wire.FRAME_HEADER.unpack(header)
        body = source.read(size)
        if len(body) < size:
            raise wire.WireError(f"frame {number} truncated: got {len(body)} of {size} bytes")
        try:
            reply_records = instances.handle_frame(now_ms, body, count)
        except (wire.WireError, SettingsError):
            raise
        except Exception as error:  # a balancer has failed: report it in a BAIL_OUT record
            text = f"{type(error).__name__}: {error}"
            speaking = wire.SPEAKING.pack(wire.SPEAKING_CODE, 4, instances.current)
            reply_records = [speaking, wire.pack_text(wire.BAIL_OUT_CODE, text)]
        sink.write(wire.pack_reply(number, reply_records))
        sink.flush()


def main() -> int:
    """Serve standard input and output. Return the exit status of the process."""
    gc.freeze()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, SettingsError) as error:
        print(f"adapter: {error}", file=sys.stderr)
        return EXIT_WIRE_ERROR
    return 0


if __name__ == "__main__":
    sys.exit(main())
