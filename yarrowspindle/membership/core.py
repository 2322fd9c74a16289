"""The membership core, `(state, event) -> effects`: dispatches events to the components that handle them.

It runs unchanged on sockets and on the simulation model's virtual clock. Any datagram may be lost: a relay also places
requests without its peers, whose reported load only refines the choice of a backend.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from yarrowspindle.membership.codec import DroppedDatagramError, DropReason
from yarrowspindle.membership.context import MembershipContext
from yarrowspindle.membership.effects import Effect, PayloadReceived
from yarrowspindle.membership.events import (
    DatagramReceived,
    Event,
    LeaveCluster,
    LocalLoad,
    SendPayload,
    TimerFired,
)
from yarrowspindle.membership.full_sync import FullSync
from yarrowspindle.membership.load_dissemination import LoadDissemination
from yarrowspindle.membership.load_signals import LoadSignals
from yarrowspindle.membership.members import Member, Members
from yarrowspindle.membership.messages import (
    Ack,
    Datagram,
    FullLoadRequest,
    LoadSignal,
    MemberState,
    Nack,
    Payload,
    Ping,
    PingRequest,
    SyncRequest,
)
from yarrowspindle.membership.probing import Probing
from yarrowspindle.membership.rate_limits import FullSyncLimiter, SourceLimiter
from yarrowspindle.membership.settings import PeerSettings
from yarrowspindle.membership.timers import DirectProbeTimeout, PeriodicTimer, RelayedPingTimeout
from yarrowspindle.membership.update_dissemination import UpdateDissemination

LEAVE_TRANSMISSIONS = 3
UNLOGGED_DROP_REASONS = (DropReason.EARLIER_INCARNATION, DropReason.HAS_LEFT)


class Membership:
    """The cluster membership of one relay.

    Args:
        settings: The settings in the section `[peers]`.
        name: This relay's name in the cluster.
        incarnation: A number that increases from one process of this name to the next, such as the start time in Unix
            milliseconds. If that clock was set back, the updates of peers correct the number.
        seed: Seed of all random choices.
        now: Current time in milliseconds of a monotonic clock.
    """

    def __init__(self, settings: PeerSettings, name: str, incarnation: int, seed: int, now: float) -> None:
        context = MembershipContext(settings, name, incarnation, seed, now)
        full_sync_limiter = FullSyncLimiter(now)
        self._context = context
        self._source_limiter = SourceLimiter(now)
        self._has_left = False
        self._updates = UpdateDissemination(context)
        self.full_sync = FullSync(context, full_sync_limiter)
        self.probing = Probing(context, self._updates, self.full_sync)
        self.load_dissemination = LoadDissemination(context, full_sync_limiter)
        self.event_handlers = self._build_event_handlers()
        self.message_handlers = self._build_message_handlers()
        self.timer_handlers = self._build_timer_handlers()
        self._set_first_timers()

    def _build_event_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            DatagramReceived: self._on_datagram,
            TimerFired: self._on_timer,
            LocalLoad: self.load_dissemination.on_local_load,
            LeaveCluster: self._on_leave,
            SendPayload: self._on_send_payload,
        }

    def _build_message_handlers(self) -> dict[type, Callable[[Member, Datagram, Any], None]]:
        return {
            Ping: self.probing.on_ping,
            Ack: self.probing.on_ack,
            PingRequest: self.probing.on_ping_request,
            Nack: self.probing.on_nack,
            SyncRequest: self.full_sync.on_sync_request,
            LoadSignal: self.load_dissemination.on_load_signal,
            FullLoadRequest: self.load_dissemination.on_full_load_request,
            Payload: self._on_payload,
        }

    def _build_timer_handlers(self) -> dict[PeriodicTimer, Callable[[], None]]:
        return {
            PeriodicTimer.JOIN: self.full_sync.join,
            PeriodicTimer.PROBE: self.probing.on_interval,
            PeriodicTimer.LOAD_SIGNAL: self.load_dissemination.on_signal_timer,
            PeriodicTimer.PEER_LOADS: self.load_dissemination.on_peer_loads_timer,
        }

    def _set_first_timers(self) -> None:
        """Set the periodic timers, with random delays so that relays started together do not act simultaneously."""
        context = self._context
        signal_interval_ms = 1000.0 * context.settings.signal_s
        context.set_timer(0.0, PeriodicTimer.JOIN)
        context.set_timer(context.detector.probe_ms * context.random.random(), PeriodicTimer.PROBE)
        context.set_timer(signal_interval_ms * context.random.random(), PeriodicTimer.LOAD_SIGNAL)
        context.set_timer(signal_interval_ms, PeriodicTimer.PEER_LOADS)

    @property
    def members(self) -> Members:
        """The table of members."""
        return self._context.members

    @property
    def signals(self) -> LoadSignals:
        """The load signals of this relay and of its peers."""
        return self._context.signals

    @property
    def counts(self) -> Counter[str]:
        """The counters by their metric names."""
        return self._context.counts

    def step(self, now: float, event: Event) -> list[Effect]:
        """Handle an event, and return its effects in order."""
        self._context.now = max(self._context.now, now)
        if not self._has_left or isinstance(event, DatagramReceived):
            self.event_handlers[type(event)](event)
        return self.take_effects()

    def take_effects(self) -> list[Effect]:
        """Return the effects emitted since the last call, such as those of the initialization."""
        return self._context.take_effects()

    def gauges(self) -> dict[str, float]:
        """Return the gauges by their metric names."""
        context = self._context
        states = Counter(member.state for member in context.members)
        return {f"members_{state.label}": float(states[state]) for state in MemberState} | {
            "distrust": float(context.detector.health_penalty),
            "heard": float(sum(view.counted for view in context.signals.peers.values())),
            "oldest_signal_ms": context.signals.oldest_age_ms(context.now),
            "nodes_told_of": float(len(context.signals.totals)),
            "displaced": float(context.members.superseded),
        }

    # --- datagrams ------------------------------------------------------------------------------

    def _on_datagram(self, event: DatagramReceived) -> None:
        context = self._context
        context.counts["came"] += 1
        context.counts["came_bytes"] += len(event.data)
        if not self._source_limiter.accept(event.source, context.now):
            self._drop(DropReason.FLOOD, event)
            return
        try:
            datagram = context.codec.decode(event.data)
        except DroppedDatagramError as error:
            self._drop(str(error), event)
            return
        reason = self._apply_updates(datagram)
        if reason is not None:
            self._drop(reason, event)
            return
        member = context.members.table.get(datagram.name)
        if member is None or member.incarnation != datagram.incarnation:
            self._drop(DropReason.TABLE_FULL, event)
            return
        if member.state != MemberState.ALIVE:
            self._send_state(member, datagram)
            if member.state == MemberState.LEFT:
                self._drop(DropReason.HAS_LEFT, event)
                return
        member.last_heard = context.now
        self.message_handlers[type(datagram.body)](member, datagram, datagram.body)

    def _apply_updates(self, datagram: Datagram) -> DropReason | None:
        """Apply the datagram's updates, or return the reason why the datagram is dropped instead."""
        if datagram.name == self.members.local.name:
            self._on_name_conflict(datagram)
            return DropReason.OWN_NAME
        known = self.members.table.get(datagram.name)
        if known is not None and datagram.incarnation < known.incarnation:
            self._send_state(known, datagram)
            return DropReason.EARLIER_INCARNATION
        self._updates.apply(datagram.sender_update)
        for update in datagram.updates:
            self._updates.apply(update)
        return None

    def _drop(self, reason: str, event: DatagramReceived) -> None:
        self.counts[f"dropped_{reason.replace(' ', '_')}"] += 1
        if reason not in UNLOGGED_DROP_REASONS:
            host, port = event.source
            self._context.log(f"dropped a datagram from {host}:{port}: {reason}", rate_limited=True)

    def _on_name_conflict(self, datagram: Datagram) -> None:
        """Handle a datagram of another process that uses this relay's name.

        The name belongs to the later incarnation. If that is this process, it notifies the sender.
        """
        local = self.members.local
        if datagram.address == local.address and datagram.incarnation == local.incarnation:
            return  # this process received its own datagram
        self._updates.apply(datagram.sender_update)
        if not self.members.superseded:
            self._context.send(datagram.address, SyncRequest(), [local.to_update()])

    def _send_state(self, member: Member, datagram: Datagram) -> None:
        """Send the datagram's sender its own state in this relay's table, so that it can refute it."""
        self._context.send(datagram.address, SyncRequest(), [member.to_update()])

    # --- payloads -------------------------------------------------------------------------------

    def _on_send_payload(self, event: SendPayload) -> None:
        """Send a payload, even to a member in state `DEAD`, which may still receive it."""
        member = self.members.table.get(event.recipient)
        if member is not None and not self.members.superseded:
            self._context.send(member.address, Payload(event.data))

    def _on_payload(self, member: Member, datagram: Datagram, payload: Payload) -> None:
        self._context.emit(PayloadReceived(member.name, payload.data))

    # --- timers and leaving ---------------------------------------------------------------------

    def _on_timer(self, event: TimerFired) -> None:
        timer = event.timer
        if timer is PeriodicTimer.PROBE:
            self.probing.check_stall(event.deadline)
        if isinstance(timer, PeriodicTimer):
            self.timer_handlers[timer]()
        elif isinstance(timer, DirectProbeTimeout):
            self.probing.on_direct_timeout(timer.number)
        elif isinstance(timer, RelayedPingTimeout):
            self.probing.on_relayed_timeout(timer.number)

    def _on_leave(self, event: LeaveCluster) -> None:
        """Notify all peers that this relay leaves the cluster."""
        context = self._context
        context.members.leave(context.now)
        self._has_left = True
        for member in context.present_peers():
            for _ in range(LEAVE_TRANSMISSIONS):
                context.send(member.address, SyncRequest(), [context.members.local.to_update()])
