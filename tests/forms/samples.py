"""One value of each kind that reaches bytes: messages between processes, stored files, a recorded sequence."""

from __future__ import annotations

import io
from typing import Any

from yarrowspindle.configuration import codec as control_codec
from yarrowspindle.configuration import messages as control
from yarrowspindle.configuration.effects import Persist
from yarrowspindle.configuration.state import ChangeOrder, CommittedStep, ControlState
from yarrowspindle.consensus.acceptor import AcceptorState
from yarrowspindle.consensus.messages import Accept, Accepted, Prepare, Promise, Rejected
from yarrowspindle.decisions.events import EndpointState, ListKind, PeerLoads
from yarrowspindle.decisions.settings import DeduplicationScope, Idempotency, RequestClass, Settings, Tenant
from yarrowspindle.maintenance import codec as turns_codec
from yarrowspindle.maintenance import messages as turns
from yarrowspindle.maintenance.requests import ORDER_FEWEST, REFUSED, MaintenanceRequest, RequestStatus
from yarrowspindle.maintenance.state import WARMING, Evacuation, MaintenanceState
from yarrowspindle.membership import messages as peers
from yarrowspindle.protocol.fragments import Fragmenter
from yarrowspindle.rebalancing import RebalanceSettings
from yarrowspindle.replay.sequence import Recorder
from yarrowspindle.routing import events
from yarrowspindle.routing.termination import TerminationReason

OWNER, CLUSTER = "n3", "lisboa"

WISH = MaintenanceRequest(("s-1", "s-2"), 2, 1, 3.5, 90.0, ORDER_FEWEST, "kernel")
TURN_STATE = MaintenanceState(
    voters={"n1": "aa", "n2": "bb", "n3": "cc"},
    version=41,
    epoch=2,
    last_evacuation_number=7,
    requests={
        WISH.id: RequestStatus(WISH, ("s-2",)),
        "0badc0ffee00": RequestStatus(MaintenanceRequest(("s-9",)), (), REFUSED, "s-9 is in another request", 12),
    },
    evacuations={
        "s-1": Evacuation(6, WISH.id, 1, WARMING, frozenset({("n1", 3)})),
        "s-3": Evacuation(7, WISH.id, 0, confirmed_by=frozenset({("n2", 4)})),
    },
    relays={"n1": 3, "n2": 4},
    process_keys={"n1": "k1", "n2": "k2"},
    pause_reason="a relay is down",
    paused_by_operator=True,
)
STEP = {"step_ms": "2", "limits": None}
CONTROL_STATE = ControlState(
    voters={"c1": "aa", "c2": "bb", "c3": "cc"},
    version=2,
    epoch=1,
    entries={"step_ms": "2"},
    last_settled={"c1": (1700000000000, 2)},
    recent_steps=[
        CommittedStep(1, {"step_ms": "1", "limits": "{}"}, "", "c1", 1700000000000, 1),
        CommittedStep(2, STEP, "no", "c1", 17, 2),
    ],
)
DIGEST = CONTROL_STATE.digest


def register_messages(state: Any) -> list[Any]:
    """Of the quorum register, on a state of either user."""
    return [
        Prepare((5, "n1 k1"), 2, "bb"),
        Promise((5, "n1 k1"), "bb", (4, "n2 k2"), state),
        Accept((5, "n1 k1"), 2, "bb", state),
        Accepted((5, "n1 k1"), "bb"),
        Rejected((5, "n1 k1"), (6, "n3 k3"), state, True),
        Rejected((5, "n1 k1"), (6, "n3 k3")),
    ]


def turns_messages() -> list[Any]:
    return [
        *register_messages(TURN_STATE),
        turns.StateUpdate(TURN_STATE),
        turns.CatchUpRequest(40),
        turns.ReleaseConfirmation(3, {"s-1": 6, "s-3": 7}),
        turns.RegisterRelay("0123456789abcdef"),
        turns.LatestVersion(41),
    ]


def control_messages() -> list[Any]:
    named = control.LaggingRelay("n7", 1, 2500, "limits make no sense")
    return [
        control.Heartbeat(2, DIGEST, 1, "limits make no sense", True, True, "c2"),
        control.LatestVersion(2, DIGEST),
        control.Delta(1, 2, DIGEST, [STEP]),
        control.Snapshot(2, DIGEST, {"step_ms": "2"}),
        control.Detach(),
        control.RelayReattached("127.0.0.9", 7946, 1700000000000, 1234),
        control.NewerIncarnation(1700000000001),
        control.RelaySummary(2, 12, [(1, 2), (2, 10)], [named], 3),
        control.StateUpdate(CONTROL_STATE),
        ChangeOrder("c1", 1700000000000, 3, STEP),
        *register_messages(CONTROL_STATE),
    ]


def peers_datagrams() -> list[peers.Datagram]:
    update = peers.MembershipUpdate("n2", "127.0.0.2", 7946, 1700000000000, 4, peers.MemberState.SUSPECT, "n1")
    bodies: list[Any] = [
        peers.Ping(9, "n2", 123456789),
        peers.Ack(9, 123456789, "n2"),
        peers.PingRequest(10, "n4", "127.0.0.4", 7946),
        peers.Nack(10),
        peers.SyncRequest(True),
        peers.LoadSignal(3, 5, [11, 2, 3000], 1, 99, [12, 4, 5000], [13, 700], [14, 950, 6, 120]),
        peers.FullLoadRequest(),
        peers.Payload(b"carried"),
    ]
    return [
        peers.Datagram(peers.VERSION, CLUSTER, "n1", "127.0.0.1", 7946, 1700000000000, 2, 5000, body, [update])
        for body in bodies
    ]


def stored() -> dict[str, tuple[Any, Any]]:
    """Name -> codec and value of each file."""
    return {
        "turns voter": (turns_codec.FILE, AcceptorState("cc", (6, "n1 k1"), (5, "n2 k2"), TURN_STATE)),
        "control voter": (control_codec.ACCEPTOR_FILE, AcceptorState("cc", (6, "c1 k1"), (5, "c2 k2"), CONTROL_STATE)),
        "control settings of a relay": (control_codec.APPLIED_SETTINGS_FILE, Persist(2, {"step_ms": "2"})),
        "control state of a controller": (control_codec.COMMITTED_STATE_FILE, CONTROL_STATE),
    }


def parcels() -> list[bytes]:
    """A message of three parts, and what asks for the missing ones."""
    sender, receiver = Fragmenter(7), Fragmenter(100)
    parts = sender.split("n2", bytes(range(256)) * 8)
    receiver.on_datagram(0.0, "n1", parts[1])
    return [*parts, *(data for _, data in receiver.requests_due(60.0))]


SETTINGS = Settings(
    classes=(
        RequestClass(800.0, 4800.0, Idempotency.KEYED, DeduplicationScope.ZONE, 2500.0, 2.0, 120.0),
        RequestClass(500.0, 2000.0),
    ),
    zone=1,
    zones=3,
    number=4,
    balancers=12,
    tenants=(Tenant(10.0, 200.0, 0.5),),
    over_quota_priority_weight=0.1,
    polls_discovery=True,
    poll_interval_ms=9000.0,
    drain_grace_ms=400.0,
    answer_slack_ms=50.0,
    initial_capacity_fraction=0.2,
    warmup_ms=8000.0,
    overload_multiple=2.0,
    overload_window_ms=900.0,
    connect_timeout_ms=260.0,
    conn_idle_ms=31_000.0,
    tick_ms=2.0,
    max_attempts=3,
    max_retry_after_ms=2000.0,
    clients_heed_retry_after=True,
    may_cancel=True,
    may_probe=True,
    can_gossip=True,
    cross_zone_price=0.05,
    move_price=0.01,
    probe_price=0.001,
    backend_reports_load=False,
    backend_reports_latency=False,
    capacity_excludes_load=True,
    groups_share_work=True,
    load_report_fields=("x0", "rif"),
    uses_own_load=True,
)


def sequence_events() -> list[events.Event]:
    machine = events.Endpoint("s-1", ("10.1.0.18", 3000), EndpointState.DRAINING, 1, 3, 2, 1.5, 1700000000000.0)
    others = PeerLoads({11: (2, 3.0)}, {11: -1}, 4, 6, 120.0, frozenset({13}), {14: (0.95, 6.0, 120.0)}, 2)
    return [
        events.EndpointsUpdated(ListKind.FULL, [machine], 41, 250.0),
        events.RequestReceived(1, 2000.0, 1, 0, 77, 3.5, 78, True, True, "s-1", "9b1f03aa5c7e2d41"),
        events.ClientDisconnected(1),
        events.UnexpectedClientData(1),
        events.BackendConnected(1, 0),
        events.BackendAccepted(1, 0),
        *(events.AttemptEnded(1, 0, ending) for ending in TerminationReason),
        events.LoadReported(1, 2.5),
        events.UnclassifiedReport(1, 40.0),
        events.ClientDataForwarded(1, 2),
        events.BackendDataForwarded(1, 3),
        events.TimerFired("pulse"),
        events.TimerFired(7),
        events.TimerFired(("deadline", 1)),
        events.ShutdownRequested(1500.0, False),
        events.DiscoveryAddressChanged(("10.2.0.1", 8500)),
        events.EventLoopStalled(300.0),
        events.PeerLoadsUpdated(others),
        events.RebalancingConfigured(RebalanceSettings(), 9),
        events.RebalancingConfigured(None),
    ]


def sequence() -> bytes:
    out = io.BytesIO()
    recorder = Recorder(out, SETTINGS, 7, 1700000000000.0)
    for number, event in enumerate(sequence_events()):
        recorder.event(1700000000000.0 + number, event)
    return out.getvalue()
