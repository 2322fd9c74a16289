"""Sends this relay's load to its peers, and reports theirs to the balancer."""

from __future__ import annotations

from yarrowspindle.membership.context import MembershipContext
from yarrowspindle.membership.effects import PeerLoadsUpdated, SampleLocalLoad
from yarrowspindle.membership.events import LocalLoad
from yarrowspindle.membership.local_load_log import TRANSMISSIONS
from yarrowspindle.membership.members import Member
from yarrowspindle.membership.messages import Datagram, FullLoadRequest, LoadSignal
from yarrowspindle.membership.rate_limits import FullSyncLimiter
from yarrowspindle.membership.timers import PeriodicTimer

MIN_PEER_LOADS_INTERVAL_MS_PER_RELAY = 5.0  # the larger the cluster, the less often the balancer is updated
MAX_PEER_LOADS_INTERVAL_MS = 1000.0
# A relay sends at most 5000 / peers datagrams with load signals per second, limited to the range from 50 to 125, so
# that a cluster of up to 100 relays sends about 5000 in total. If loads were older, several relays would choose the
# same backend.
MIN_SIGNALS_PER_S = 50.0
MAX_SIGNALS_PER_S = 125.0
MAX_SIGNALS_PER_S_TO_ALL = 5000.0
MAX_RETRANSMIT_INTERVAL_S = 0.5  # at longer signal intervals each change is sent once, and lost changes are requested
LOAD_SYNC = "signals"  # the kind of full sync for the limiter


class LoadDissemination:
    """The component that exchanges load signals with the peers, and passes the peers' load to the balancer."""

    def __init__(self, context: MembershipContext, limiter: FullSyncLimiter) -> None:
        self._context = context
        self._limiter = limiter
        self._last_reported = (0, 1)  # relays that report load, and relays present, at the last update

    @property
    def _signal_interval_ms(self) -> float:
        return 1000.0 * self._context.settings.signal_s

    def on_signal_timer(self) -> None:
        """Request the local load if there are peers to send it to."""
        members = self._context.members
        if members.size > 1 and not members.superseded:
            self._context.emit(SampleLocalLoad())
        else:
            self._context.set_timer(self._signal_interval_ms, PeriodicTimer.LOAD_SIGNAL)

    def on_local_load(self, local_load: LocalLoad) -> None:
        """Send the load to all peers, and schedule the next signal so that `bytes_per_s` is not exceeded."""
        context = self._context
        peers = context.present_peers()
        interval_s = self._min_interval_s(len(peers))
        transmissions = TRANSMISSIONS if interval_s < MAX_RETRANSMIT_INTERVAL_S else 1
        data = context.encode(context.signals.local.next_signal(local_load, context.now, transmissions))
        for member in peers:
            context.send_encoded(member.address, data)
        sent_bytes = len(data) * len(peers)
        context.counts["signal_bytes"] += sent_bytes
        next_interval_s = max(interval_s, sent_bytes / context.settings.bytes_per_s)
        context.set_timer(1000.0 * next_interval_s, PeriodicTimer.LOAD_SIGNAL)

    def on_load_signal(self, member: Member, datagram: Datagram, signal: LoadSignal) -> None:
        """Apply a peer's load signal, and request all of its load if signals were lost."""
        context = self._context
        if not member.present:
            return
        if context.signals.receive(member.name, member.incarnation, datagram.sent_at, signal, context.now):
            context.send(member.address, FullLoadRequest())

    def on_full_load_request(self, member: Member, datagram: Datagram, request: FullLoadRequest) -> None:
        """Send all of this relay's load, unless the limiter rejects the full sync."""
        context = self._context
        if not self._limiter.accept(LOAD_SYNC, member.name, context.now):
            return
        context.counts["wholes_sent"] += 1
        for signal in context.signals.local.full_signals():
            context.send_encoded(member.address, context.encode(signal))

    def on_peer_loads_timer(self) -> None:
        """Pass the peers' load to the balancer, unless there is nothing to report."""
        context = self._context
        names = context.members.names
        local_name = context.members.local.name
        rank = names.index(local_name) if local_name in names else 0
        peer_loads = context.signals.take_peer_loads(context.now, len(names), rank)
        reported = (peer_loads.reporting_relays, peer_loads.relays)
        if reported != self._last_reported or peer_loads.reporting_relays or peer_loads.loads:
            self._last_reported = reported
            context.emit(PeerLoadsUpdated(peer_loads))
        size_based_interval_ms = min(
            MAX_PEER_LOADS_INTERVAL_MS, MIN_PEER_LOADS_INTERVAL_MS_PER_RELAY * context.members.size
        )
        context.set_timer(max(self._signal_interval_ms, size_based_interval_ms), PeriodicTimer.PEER_LOADS)

    def _min_interval_s(self, peers: int) -> float:
        """Return the minimum time between two signals: the configured one, or longer if there are many peers."""
        recipients = max(peers, 1)
        signals_per_s = max(MIN_SIGNALS_PER_S, min(MAX_SIGNALS_PER_S, MAX_SIGNALS_PER_S_TO_ALL / recipients))
        return max(self._context.settings.signal_s, recipients / signals_per_s)
