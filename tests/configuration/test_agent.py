"""The agent: which versions it applies, and to which controller it attaches."""

from __future__ import annotations

from tests.configuration.harness import CONTROLLERS, RelayHarness, delta, snapshot
from yarrowspindle.configuration.agent import CONTROLLER_TIMEOUT_MS, NEWER_VERSION_TOLERANCE_MS
from yarrowspindle.configuration.effects import ApplySettings, Persist, SendMessage
from yarrowspindle.configuration.events import MessageReceived, Sender, SettingsRejected, TimerFired
from yarrowspindle.configuration.messages import Delta, Detach, LatestVersion, Snapshot
from yarrowspindle.configuration.state import content_digest


def test_steps_are_applied_in_order_and_persisted() -> None:
    relay = RelayHarness()
    relay.receive(delta(0, {}, {"a": "1"}, {"a": "2", "b": "1"}))
    assert relay.applied() == [(2, {"a": "2", "b": "1"})] and Persist(2, {"a": "2", "b": "1"}) in relay.effects
    assert relay.heartbeats()[-1].applied_version == 2
    relay.receive(delta(1, {"a": "1"}, {"a": "2", "b": "1"}, {"a": None}))
    assert relay.applied() == [(3, {"b": "1"})], "a step that the relay has already is skipped"
    (apply,) = [e for e in relay.effects if isinstance(e, ApplySettings)]
    assert apply.changed_keys == {"a"}


def test_older_versions_and_deltas_over_a_gap_are_not_applied() -> None:
    relay = RelayHarness()
    relay.receive(snapshot(5, {"a": "5"}))
    for message in (
        snapshot(4, {"a": "4"}),
        snapshot(5, {"a": "other"}),
        delta(3, {}, {"a": "4"}),
        delta(6, {"a": "5"}, {"a": "7"}),
        Delta(4, 9, content_digest(9, {"a": "9"}), [{"a": "9"}]),
    ):
        relay.receive(message)
        assert not relay.applied() and relay.agent.applied_version == 5, message
    assert relay.heartbeats()[-1].known_version == 5, "a heartbeat requests the steps after version 5"


def test_a_wrong_digest_leads_to_one_request_for_a_snapshot() -> None:
    relay = RelayHarness()
    relay.receive(snapshot(1, {"a": "1"}))
    relay.receive(Delta(1, 2, content_digest(2, {"a": "2"}), [{"a": "3"}]))
    assert not relay.applied() and relay.heartbeats()[-1].wants_snapshot
    relay.receive(Snapshot(2, b"12345678", {"a": "2"}))
    assert not relay.applied() and not relay.heartbeats(), (
        "a second request would loop with a permanently faulty sender"
    )
    relay.receive(snapshot(2, {"a": "2"}))
    assert relay.applied() == [(2, {"a": "2"})] and not relay.heartbeats()[-1].wants_snapshot


def test_different_content_under_the_known_version_is_logged_and_a_snapshot_is_requested() -> None:
    relay = RelayHarness()
    relay.receive(snapshot(1, {"a": "1"}))
    relay.receive(LatestVersion(1, content_digest(1, {"a": "2"})))
    assert "different content" in relay.log_lines()[0] and relay.agent.needs_snapshot and not relay.applied()


def test_a_version_that_the_check_rejects_is_not_applied_and_the_next_valid_one_is() -> None:
    relay = RelayHarness()
    relay.receive(snapshot(1, {"a": "1"}))
    relay.receive(delta(1, {"a": "1"}, {"a": "nonsense"}))
    assert not relay.applied() and relay.agent.applied_entries == {"a": "1"}
    latest = relay.heartbeats()[-1]
    assert (latest.known_version, latest.applied_version, latest.rejection_reason) == (2, 1, "a makes no sense")
    relay.receive(delta(2, {"a": "nonsense"}, {"a": "3"}))
    assert relay.applied() == [(3, {"a": "3"})] and relay.heartbeats()[-1].rejection_reason == ""


def test_a_version_that_the_process_cannot_apply_is_rolled_back_to_the_previous_one() -> None:
    relay = RelayHarness()
    relay.receive(snapshot(1, {"a": "1"}))
    relay.receive(snapshot(2, {"a": "2"}))
    relay.post(SettingsRejected(1, "for an older version"))
    assert relay.agent.applied_version == 2
    relay.post(SettingsRejected(2, "no memory"))
    assert (relay.agent.applied_version, relay.agent.applied_entries) == (1, {"a": "1"})
    latest = relay.heartbeats()[-1]
    assert (latest.known_version, latest.applied_version, latest.rejection_reason) == (2, 1, "no memory")
    relay.receive(delta(2, {"a": "2"}, {"b": "3"}))
    (apply,) = [e for e in relay.effects if isinstance(e, ApplySettings)]
    assert apply.changed_keys == {"a", "b"}, "compared with the applied version, not with the known one"


def test_after_a_restart_the_stored_version_is_applied_without_a_controller() -> None:
    relay = RelayHarness(7, {"a": "7"})
    assert relay.applied() == [(7, {"a": "7"})]
    relay.receive(snapshot(6, {"a": "6"}))
    assert not relay.applied()
    assert RelayHarness(7, {"a": "nonsense"}).applied() == []


def test_a_relay_with_a_newer_version_applies_nothing_older_and_logs_that_the_controllers_lost_data() -> None:
    relay = RelayHarness(7, {"a": "7"})
    assert not relay.receive(LatestVersion(3, content_digest(3, {}))) or not relay.log_lines()
    relay.receive(LatestVersion(3, content_digest(3, {})), elapsed_ms=NEWER_VERSION_TOLERANCE_MS + 1.0)
    assert "until it receives a version above 7" in relay.log_lines()[0] and relay.agent.applied_version == 7
    relay.receive(LatestVersion(7, relay.agent.digest))
    relay.receive(LatestVersion(3, content_digest(3, {})), elapsed_ms=NEWER_VERSION_TOLERANCE_MS + 1.0)
    assert not relay.log_lines(), "a controller that lags temporarily is not logged"


def test_messages_of_unknown_senders_are_ignored() -> None:
    relay = RelayHarness()
    for sender in (Sender("c99", ("10.0.0.9", 1)), Sender("c00", ("10.0.0.99", 7950))):
        relay.post(MessageReceived(sender, snapshot(9, {"a": "9"})))
        assert not relay.applied() and "no [[control.machine]] has this name and address" in relay.log_lines()[0]


def test_a_silent_controller_is_replaced_and_a_preferred_one_is_reattached_when_it_answers() -> None:
    relay = RelayHarness()
    relay.receive(LatestVersion(0, content_digest(0, {})), CONTROLLERS[1])
    assert relay.agent.current is CONTROLLERS[1]
    relay.receive(LatestVersion(0, content_digest(0, {})), CONTROLLERS[2])
    assert relay.agent.current is CONTROLLERS[1], "the relay stays attached to a controller that answers"
    relay.receive(LatestVersion(0, content_digest(0, {})), CONTROLLERS[0])
    detached_from = [e.to.name for e in relay.effects if isinstance(e, SendMessage) and isinstance(e.message, Detach)]
    assert relay.agent.current is CONTROLLERS[0] and detached_from == ["c01"]
    relay.post(TimerFired(), CONTROLLER_TIMEOUT_MS + 1.0)
    assert {e.to.name for e in relay.effects if isinstance(e, SendMessage)} >= {"c00", "c01"}, "others are contacted"
    relay.receive(LatestVersion(0, content_digest(0, {})), CONTROLLERS[2])
    assert relay.agent.current is CONTROLLERS[2] and relay.heartbeats()[-1].previous_controller == "c00"
    assert [type(e.message) for e in relay.agent.detach() if isinstance(e, SendMessage)] == [Detach]
