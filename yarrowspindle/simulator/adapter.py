"""The simulator's wire on one side, many isolated balancers on the other: frames and names only, no decisions."""

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
# Bits of a request's flags.
FLAG_LOAD_HINT = 1
FLAG_REPEATED = 2
FLAG_MID_FLOW = 8
FLAG_RETURNED = 16

# What a signal tells.
SIGNAL_LOAD = 1
SIGNAL_SLOW_MESSAGE = 2
MICROSECONDS_PER_MS = 1000.0

EXIT_WIRE_ERROR = 2
NO_INSTANCE = -1


def encode(action: Action) -> bytes:  # noqa: PLR0911  # one return for each action
    """Returns an action as a record of the wire."""
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
    """Returns what a code stands for. Raises WireError that names `what` for an unknown one."""
    try:
        return table[code]
    except KeyError:
        raise wire.WireError(f"unknown {description}: {code}") from None


def read_members(body: bytes, offset: int, end: int) -> Event:
    """Reads an endpoint list."""
    list_kind, version, count = wire.unpack_fields(wire.MEMBERS_HEADER, body, offset, end)
    offset += wire.MEMBERS_HEADER.size
    if offset + count * wire.MEMBERS_ENTRY.size > end:
        raise wire.WireError("a server list is cut off")
    entries = [
        Endpoint(backend, zone, cell, lookup(STATES, state, "server state"), capacity, started_ms, kind)
        for backend, zone, kind, cell, state, capacity, started_ms in wire.MEMBERS_ENTRY.iter_unpack(
            body[offset : offset + count * wire.MEMBERS_ENTRY.size]
        )
    ]
    return EndpointList(lookup(LIST_KINDS, list_kind, "kind of list"), entries, version)


def read_demand(body: bytes, offset: int, end: int) -> Event:
    """Reads a new request."""
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
    """Reads a connection that was open at the start."""
    request, load_hint, _, key, backend, group, tenant, flags, cls = wire.unpack_fields(
        wire.ADOPTED_BODY, body, offset, end
    )
    return ExistingConnection(request, backend, cls, tenant, key, load_hint if flags & FLAG_LOAD_HINT else 0.0, group)


def read_started(body: bytes, offset: int, end: int) -> Event:
    """Reads that an attempt is established."""
    request, attempt, latency_ms, backend = wire.unpack_fields(wire.STARTED_BODY, body, offset, end)
    return ConnectionEstablished(request, attempt, backend, latency_ms)


def read_done(body: bytes, offset: int, end: int) -> Event:
    """Reads how an attempt ended."""
    request, attempt, backend, finished, code, latency_ms, value_count = wire.unpack_fields(
        wire.DONE_BODY, body, offset, end
    )
    wire.unpack_load_report(
        body, offset + wire.DONE_BODY.size, end, value_count
    )  # not used; one that is cut off is an error all the same
    return AttemptEnded(request, attempt, backend, lookup(OUTCOMES, code, "outcome"), bool(finished), latency_ms)


def read_timed_out_client(body: bytes, offset: int, end: int) -> Event:
    """Reads that a client has left."""
    return ClientDisconnected(wire.unpack_fields(wire.U32, body, offset, end)[0])


def read_wakeup(body: bytes, offset: int, end: int) -> Event:
    """Reads that a timer has fired."""
    return TimerFired(wire.unpack_fields(wire.U32, body, offset, end)[0])


def read_health(body: bytes, offset: int, end: int) -> Event:
    """Reads the result of a health check."""
    backend, code, latency_ms, value_count = wire.unpack_fields(wire.HEALTH_BODY, body, offset, end)
    return HealthCheckCompleted(
        backend,
        lookup(OUTCOMES, code, "outcome"),
        latency_ms,
        wire.unpack_load_report(body, offset + wire.HEALTH_BODY.size, end, value_count),
    )


def read_message(body: bytes, offset: int, end: int) -> Event:
    """Reads a message of another balancer."""
    sender, size = wire.unpack_fields(wire.MESSAGE_HEADER, body, offset, end)
    offset += wire.MESSAGE_HEADER.size
    if offset + size > end:
        raise wire.WireError("a peer message is cut off")
    return PeerMessage(sender, body[offset : offset + size])


def read_signal(body: bytes, offset: int, end: int) -> Event | None:
    """Reads a load or a slow message; None for a signal of another sort."""
    request, backend, signal_kind, value, _ = wire.unpack_fields(wire.SIGNAL_BODY, body, offset, end)
    if signal_kind == SIGNAL_LOAD:
        return LoadChanged(request, backend, value / MICROSECONDS_PER_MS)  # comes in microseconds a second
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
    """All instances of one process; each has a balancer of its own, and they share nothing.

    Attributes:
        balancers: by the instance's number.
        current: the instance whose events are being handled.
    """

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.current = 0

    def handle_frame(self, now_ms: float, body: bytes, count: int) -> list[bytes]:
        """Handles the records of a frame. Returns the records of the reply.

        Raises WireError or SettingsError on records that do not follow the wire, and what a balancer raises.
        """
        reply_records: list[bytes] = []
        instance = NO_INSTANCE
        reply_instance = NO_INSTANCE  # the instance whose actions were written last
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
                continue  # any other record is of a newer wire and is skipped by its length
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
    """Answers frames until the source ends. Raises WireError or SettingsError on a frame that cannot be answered."""
    instances = Instances()
    while header := source.read(wire.FRAME_HEADER.size):
        if len(header) < wire.FRAME_HEADER.size:
            raise wire.WireError("a frame's header is cut off")
        number, size, count, now_ms = wire.FRAME_HEADER.unpack(header)
        body = source.read(size)
        if len(body) < size:
            raise wire.WireError("a frame is cut off")
        try:
            parts = instances.handle_frame(now_ms, body, count)
        except (wire.WireError, SettingsError):
            raise
        except Exception as error:  # a balancer has failed, which the wire has a record for
            text = f"{type(error).__name__}: {error}"
            speaking = wire.SPEAKING.pack(wire.SPEAKING_CODE, 4, instances.current)
            parts = [speaking, wire.pack_text(wire.BAIL_OUT_CODE, text)]
        sink.write(wire.pack_reply(number, parts))
        sink.flush()


def main() -> int:
    """Serves standard input and output. Returns the process's exit status."""
    gc.freeze()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, SettingsError) as error:
        print(f"adapter: {error}", file=sys.stderr)
        return EXIT_WIRE_ERROR
    return 0


if __name__ == "__main__":
    sys.exit(main())
