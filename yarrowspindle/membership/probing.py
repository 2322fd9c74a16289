"""SWIM's probes: a ping to one member per interval, pings through helpers where it does not answer, suspicion after."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice

from yarrowspindle.membership.context import MembershipContext
from yarrowspindle.membership.failure_detector import MAX_HELPERS, NACK_FRACTION, Probe
from yarrowspindle.membership.full_sync import FullSync
from yarrowspindle.membership.members import Member
from yarrowspindle.membership.messages import Ack, Datagram, MemberState, Nack, Ping, PingRequest
from yarrowspindle.membership.timers import DirectProbeTimeout, PeriodicTimer, RelayedPingTimeout
from yarrowspindle.membership.update_dissemination import UpdateDissemination

MAX_PINGS = 1024  # awaiting an answer
MAX_CLOCK_PINGS = 10  # in a probe interval, to peers whose clock is not known
PING_LIFETIME_INTERVALS = 8.0  # probe intervals after which an unanswered ping is forgotten


@dataclass(slots=True, frozen=True)
class PendingPing:
    """A ping that awaits its answer. `sent_at` is in milliseconds of this relay's clock."""

    target: str
    sent_at: float


@dataclass(slots=True, frozen=True)
class RelayedPing:
    """The relay that asked for a ping, and the number under which it expects the answer."""

    requester: str
    number: int


class Probing:
    """Pings peers, and answers their pings and requests for pings.

    pings: those that await their answer, by number. relayed_pings: those of them sent on behalf of a peer.
    """

    def __init__(self, context: MembershipContext, updates: UpdateDissemination, full_sync: FullSync) -> None:
        self._context = context
        self._updates = updates
        self._full_sync = full_sync
        self._last_ping_number = 0
        self.pings: dict[int, PendingPing] = {}
        self.relayed_pings: dict[int, RelayedPing] = {}

    # --- messages -------------------------------------------------------------------------------

    def on_ping(self, member: Member, datagram: Datagram, ping: Ping) -> None:
        """Answers a ping to this relay."""
        members = self._context.members
        if ping.target != members.local.name:
            return
        members.superseded = False  # the sender has this relay under its name
        ack = Ack(ping.number, members.view_digest, ping.target)
        self._context.send(datagram.address, ack, priority_member=datagram.name)
        self._full_sync.compare_views(member, ping.view_digest)

    def on_ack(self, member: Member, datagram: Datagram, ack: Ack) -> None:
        """Takes an answer for the probe in progress, and forwards it where a peer asked for the ping."""
        context = self._context
        ping = self.pings.pop(ack.number, None)
        if ping is None or ping.target != ack.responder:
            context.counts["acks_late"] += 1
            return
        if datagram.name == ack.responder:
            view = context.signals.peer_view(member.name, member.incarnation)
            view.observe_clock(datagram.sent_at, ping.sent_at)
            self._full_sync.compare_views(member, ack.view_digest)
        probe = context.detector.probe
        if probe is not None and probe.number == ack.number:
            probe.answered = True
        relayed = self.relayed_pings.pop(ack.number, None)
        if relayed is not None:
            requester = context.members.table.get(relayed.requester)
            if requester is not None:
                context.send(requester.address, Ack(relayed.number, ack.view_digest, ack.responder))

    def on_ping_request(self, member: Member, datagram: Datagram, request: PingRequest) -> None:
        """Pings a member on behalf of the sender."""
        context = self._context
        if request.target == context.members.local.name or len(self.relayed_pings) >= MAX_PINGS:
            return
        number = self._next_ping_number()
        self.pings[number] = PendingPing(request.target, context.now)
        self.relayed_pings[number] = RelayedPing(datagram.name, request.number)
        ping = Ping(number, request.target, context.members.view_digest)
        context.send((request.host, request.port), ping, priority_member=request.target)
        context.set_timer(NACK_FRACTION * context.detector.probe_ms, RelayedPingTimeout(number))

    def on_nack(self, member: Member, datagram: Datagram, nack: Nack) -> None:
        """Counts a helper that has no answer for the probe in progress."""
        probe = self._context.detector.probe
        if probe is not None and probe.number == nack.number:
            probe.nacks += 1

    # --- timers ---------------------------------------------------------------------------------

    def check_stall(self, deadline: float) -> None:
        """Notices by a late probe timer that this process was stalled."""
        context = self._context
        delay_ms = context.now - deadline
        if context.detector.detect_stall(delay_ms, context.now):
            context.counts["stood"] += 1
            context.log(f"this relay was stalled for {delay_ms:.0f} ms: it suspects no member for a while")

    def on_interval(self) -> None:
        """Ends the probe in progress and starts the next."""
        context = self._context
        peers = [member.name for member in context.present_peers()]
        unresponsive = context.detector.finish_probe(context.now)
        if unresponsive is not None:
            self._updates.suspect(unresponsive)
        self._updates.expire_suspicions()
        context.members.remove_ended(context.now - 1000.0 * context.settings.forget_s)
        self._full_sync.reconnect_if_due()
        if not context.members.superseded:
            self._start_probe(peers)
        self._forget_old_pings()
        context.set_timer(context.detector.interval_ms, PeriodicTimer.PROBE)

    def on_direct_timeout(self, number: int) -> None:
        """Asks helpers to ping the target of the probe in progress if it has not answered."""
        context = self._context
        probe = context.detector.probe
        if probe is None or probe.number != number or probe.answered:
            return
        target = context.members.table.get(probe.target)
        helpers = [
            member
            for member in context.present_peers()
            if member.state == MemberState.ALIVE and member.name != probe.target
        ]
        if target is None or not helpers:
            return
        for helper in context.random.sample(helpers, min(MAX_HELPERS, len(helpers))):
            probe.helpers += 1
            context.send(helper.address, PingRequest(number, target.name, *target.address))

    def on_relayed_timeout(self, number: int) -> None:
        """Reports to the relay that asked for a ping that there is no answer yet."""
        relayed = self.relayed_pings.get(number)
        if relayed is None:
            return
        requester = self._context.members.table.get(relayed.requester)
        if requester is not None:
            self._context.send(requester.address, Nack(relayed.number))

    # --- pings ----------------------------------------------------------------------------------

    def _start_probe(self, peers: list[str]) -> None:
        context = self._context
        target = context.detector.next_target(peers)
        if not target:
            return
        number = self._ping(context.members.table[target])
        context.detector.probe = Probe(target, number, context.now)
        context.set_timer(context.detector.direct_timeout_ms, DirectProbeTimeout(number))
        for peer in islice(context.signals.peers_without_clock(peers), MAX_CLOCK_PINGS):
            if peer != target:
                self._ping(context.members.table[peer])

    def _ping(self, member: Member) -> int:
        context = self._context
        number = self._next_ping_number()
        self.pings[number] = PendingPing(member.name, context.now)
        while len(self.pings) > MAX_PINGS:
            del self.pings[next(iter(self.pings))]
        context.send(
            member.address, Ping(number, member.name, context.members.view_digest), priority_member=member.name
        )
        return number

    def _forget_old_pings(self) -> None:
        oldest = self._context.now - PING_LIFETIME_INTERVALS * self._context.detector.interval_ms
        for number in [number for number, ping in self.pings.items() if ping.sent_at < oldest]:
            del self.pings[number]
            self.relayed_pings.pop(number, None)

    def _next_ping_number(self) -> int:
        self._last_ping_number += 1
        return self._last_ping_number
