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
HINT = 1
REPEATED = 2
MID_FLOW = 8
RETURNED = 16

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
        return wire.text_action(wire.JOURNAL_LINE_CODE, action.text)
    raise TypeError(f"no such action: {action!r}")


def lookup(table: Mapping[int, T], code: int, what: str) -> T:
    """Returns what a code stands for. Raises WireError that names `what` for an unknown one."""
    try:
        return table[code]
    except KeyError:
        raise wire.WireError(f"unknown {what}: {code}") from None


def read_members(body: bytes, at: int, end: int) -> Event:
    """Reads an endpoint list."""
    how, version, count = wire.fields(wire.MEMBERS_HEAD, body, at, end)
    at += wire.MEMBERS_HEAD.size
    if at + count * wire.ENTRY.size > end:
        raise wire.WireError("a server list is cut off")
    entries = [
        Endpoint(backend, zone, cell, lookup(STATES, state, "server state"), capacity, started, kind)
        for backend, zone, kind, cell, state, capacity, started in wire.ENTRY.iter_unpack(
            body[at : at + count * wire.ENTRY.size]
        )
    ]
    return EndpointList(lookup(LIST_KINDS, how, "kind of list"), entries, version)


def read_demand(body: bytes, at: int, end: int) -> Event:
    """Reads a new request."""
    request, cls, tenant, key, left, hint, group, bits = wire.fields(wire.DEMAND_BODY, body, at, end)
    return RequestReceived(
        request,
        cls,
        tenant,
        key,
        left,
        hint if bits & HINT else 0.0,
        group,
        bool(bits & REPEATED),
        bool(bits & MID_FLOW),
        bool(bits & RETURNED),
    )


def read_adopted(body: bytes, at: int, end: int) -> Event:
    """Reads a connection that was open at the start."""
    request, hint, _, key, backend, group, tenant, bits, cls = wire.fields(wire.ADOPTED_BODY, body, at, end)
    return ExistingConnection(request, backend, cls, tenant, key, hint if bits & HINT else 0.0, group)


def read_started(body: bytes, at: int, end: int) -> Event:
    """Reads that an attempt is established."""
    request, attempt, latency, backend = wire.fields(wire.STARTED_BODY, body, at, end)
    return ConnectionEstablished(request, attempt, backend, latency)


def read_done(body: bytes, at: int, end: int) -> Event:
    """Reads how an attempt ended."""
    request, attempt, backend, finished, code, latency, n = wire.fields(wire.DONE_BODY, body, at, end)
    wire.report(body, at + wire.DONE_BODY.size, end, n)  # not used; one that is cut off is an error all the same
    return AttemptEnded(request, attempt, backend, lookup(OUTCOMES, code, "outcome"), bool(finished), latency)


def read_gone(body: bytes, at: int, end: int) -> Event:
    """Reads that a client has left."""
    return ClientDisconnected(wire.fields(wire.U32, body, at, end)[0])


def read_wakeup(body: bytes, at: int, end: int) -> Event:
    """Reads that a timer has fired."""
    return TimerFired(wire.fields(wire.U32, body, at, end)[0])


def read_health(body: bytes, at: int, end: int) -> Event:
    """Reads the result of a health check."""
    backend, code, latency, n = wire.fields(wire.HEALTH_BODY, body, at, end)
    return HealthCheckCompleted(
        backend, lookup(OUTCOMES, code, "outcome"), latency, wire.report(body, at + wire.HEALTH_BODY.size, end, n)
    )


def read_message(body: bytes, at: int, end: int) -> Event:
    """Reads a message of another balancer."""
    sender, n = wire.fields(wire.MESSAGE_HEAD, body, at, end)
    at += wire.MESSAGE_HEAD.size
    if at + n > end:
        raise wire.WireError("a peer message is cut off")
    return PeerMessage(sender, body[at : at + n])


def read_signal(body: bytes, at: int, end: int) -> Event | None:
    """Reads a load or a slow message; None for a signal of another sort."""
    request, backend, sort, amount, _ = wire.fields(wire.SIGNAL_BODY, body, at, end)
    if sort == SIGNAL_LOAD:
        return LoadChanged(request, backend, amount / MICROSECONDS_PER_MS)  # comes in microseconds a second
    return SlowMessageObserved(request, backend, amount) if sort == SIGNAL_SLOW_MESSAGE else None


READERS: dict[int, Callable[[bytes, int, int], Event | None]] = {
    wire.MEMBERS: read_members,
    wire.DEMAND: read_demand,
    wire.STARTED: read_started,
    wire.DONE: read_done,
    wire.TIMED_OUT_CLIENT: read_gone,
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

    def handle_frame(self, now: float, body: bytes, count: int) -> list[bytes]:
        """Handles the records of a frame. Returns the records of the reply.

        Raises WireError or SettingsError on records that do not follow the wire, and what a balancer raises.
        """
        out: list[bytes] = []
        instance = NO_INSTANCE
        answered = NO_INSTANCE  # the instance whose actions were written last
        balancer: Balancer | None = None
        self.current = 0
        for code, at, end in wire.records(body, count):
            if code == wire.INSTANCE:
                instance = wire.fields(wire.U32, body, at, end)[0]
                self.current = instance
                balancer = self.balancers.get(instance)
                continue
            reader = READERS.get(code)
            if reader is None:
                if code == wire.CREATE:
                    balancer = self._create(now, instance, body, at, end)
                elif code == wire.KILL:
                    self.balancers.pop(instance, None)
                    balancer = None
                continue  # any other record is of a newer wire and is skipped by its length
            if balancer is None:
                raise wire.WireError(f"event {code} for instance {instance}, which has not been created")
            event = reader(body, at, end)
            actions = balancer.handle(now, event) if event is not None else ()
            if actions:
                if answered != instance:
                    out.append(wire.SPEAKING.pack(wire.SPEAKING_CODE, 4, instance))
                    answered = instance
                out.extend(map(encode, actions))
        return out

    def _create(self, now: float, instance: int, body: bytes, at: int, end: int) -> Balancer:
        create = wire.read_create(body, at, end)
        try:
            settings = read_settings(create.settings)
        except ValueError as error:
            raise SettingsError(str(error)) from error
        balancer = self.balancers[instance] = Balancer(settings, create.seed, now)
        return balancer


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers frames until the source ends. Raises WireError or SettingsError on a frame that cannot be answered."""
    instances = Instances()
    while head := source.read(wire.HEAD.size):
        if len(head) < wire.HEAD.size:
            raise wire.WireError("a frame's header is cut off")
        number, size, count, now = wire.HEAD.unpack(head)
        body = source.read(size)
        if len(body) < size:
            raise wire.WireError("a frame is cut off")
        try:
            parts = instances.handle_frame(now, body, count)
        except (wire.WireError, SettingsError):
            raise
        except Exception as error:  # a balancer has failed, which the wire has a record for
            text = f"{type(error).__name__}: {error}"
            speaking = wire.SPEAKING.pack(wire.SPEAKING_CODE, 4, instances.current)
            parts = [speaking, wire.text_action(wire.BAIL_OUT_CODE, text)]
        sink.write(wire.reply(number, parts))
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
