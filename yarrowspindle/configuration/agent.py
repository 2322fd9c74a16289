"""The relay's agent: handles events and returns effects, without I/O, for the real process and for the simulation.

A relay is attached to one controller at a time, preferably in its zone, and attaches to another one if that controller
fails. Without a controller it continues with the settings that it has. Relays never exchange settings.

Invariants:
1. A version is adopted from a snapshot or with all steps up to it, and only if its digest matches.
2. Versions never decrease, not even across a restart if the relay has a directory.
3. Entries that the check rejects are not applied: the last valid ones stay, and the reason is reported to the
   controller.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from random import Random

from yarrowspindle.configuration import published_counters
from yarrowspindle.configuration.effects import ApplySettings, Effect, LogMessage, Persist, SendMessage, SetTimer
from yarrowspindle.configuration.events import Event, MessageReceived, SettingsRejected, TimerFired
from yarrowspindle.configuration.messages import (
    MAX_REASON_CHARACTERS,
    Delta,
    Detach,
    Heartbeat,
    LatestVersion,
    Snapshot,
)
from yarrowspindle.configuration.settings import ControllerAddress
from yarrowspindle.configuration.state import Entries, EntriesCheck, apply_step, content_digest, entries_bounds_error

TICK_INTERVAL_MS = 250.0
HEARTBEAT_INTERVAL_MS = 500.0
CONTROLLER_TIMEOUT_MS = 900.0  # a controller that has not answered for this long is considered failed
PARALLEL_CANDIDATES = 2  # controllers that are contacted at a time
PREFERRED_CHECK_INTERVAL_MS = 10_000.0  # between heartbeats to controllers that are preferred to the current one
REATTACHMENT_HEARTBEATS = 3  # heartbeats that name the previous controller, since some may be lost
NEWER_VERSION_TOLERANCE_MS = 10_000.0  # controllers whose version is older for this long have lost committed versions
NOT_SET_MS = -1.0


class Agent:
    """Receiver of the shared settings for one relay.

    Args:
        controllers: The controllers, in this relay's order of preference.
        check: Returns why the relay cannot apply given entries.
        seed: The seed of the random source for jitter.
        now: The time of a monotonic clock in milliseconds.
        version: The version that was stored before a restart; 0 if the relay uses its own configuration file.
        entries: The entries of that version.
    """

    def __init__(
        self,
        controllers: list[ControllerAddress],
        check: EntriesCheck,
        seed: int,
        now: float,
        version: int = 0,
        entries: Mapping[str, str] | None = None,
    ) -> None:
        self.controllers, self.check, self.now = controllers, check, now
        self.rank = {controller.name: rank for rank, controller in enumerate(controllers)}
        self.random = Random(seed)
        # The newest version received, even if the check rejects it.
        self.known_version, self.entries = version, dict(entries or {})
        self.digest = content_digest(self.known_version, self.entries)
        self.applied_version, self.rejection_reason = 0, ""
        self.applied_entries: Entries = {}
        self.previous_applied: tuple[int, Entries] = (0, {})  # restored if the process cannot apply the current one
        self.current: ControllerAddress | None = None
        self.last_received_at = now  # when the current controller last sent a message
        self.next_heartbeat_at = now
        self.unanswered_since = NOT_SET_MS  # when the last heartbeat was sent, if it is not answered yet
        self.next_candidate_index = 0
        self.next_preferred_check_at = self._preferred_check_at()
        self.needs_snapshot = False
        self.previous_controller, self.reattachment_heartbeats_left = "", 0
        self.controllers_behind_since = NOT_SET_MS  # since when the controllers' version is older than the relay's
        self.counts: Counter[str] = Counter()
        self.effects: list[Effect] = []
        if self.known_version:
            self._apply()
        self.effects.append(SetTimer(TICK_INTERVAL_MS * self.random.random()))

    def step(self, now: float, event: Event) -> list[Effect]:
        """Handle an event and return its effects. `now` is the time of a monotonic clock in milliseconds."""
        self.now = max(self.now, now)
        if isinstance(event, MessageReceived):
            self._on_message(event)
        elif isinstance(event, TimerFired):
            self._on_timer()
        elif isinstance(event, SettingsRejected) and event.version == self.applied_version:
            self.applied_version, self.applied_entries = self.previous_applied
            self._reject(event.reason)
            self._send_heartbeat_to_current()
        return self.take_effects()

    def take_effects(self) -> list[Effect]:
        """Return the effects since the last call."""
        effects, self.effects = self.effects, []
        return effects

    def detach(self) -> list[Effect]:
        """Detach from the controller at a graceful shutdown, and return the effects."""
        if self.current is not None:
            self.effects.append(SendMessage(self.current.sender, Detach()))
        return self.take_effects()

    @property
    def has_no_controller(self) -> bool:
        """Whether the relay is not attached to a controller, or that controller does not answer."""
        return self.current is None or self.now > self.last_received_at + CONTROLLER_TIMEOUT_MS

    # --- the controller ---------------------------------------------------------------------------

    def _on_timer(self) -> None:
        if self.has_no_controller:
            self._contact_candidates()
        elif self.now >= self.next_heartbeat_at or self.unanswered_since >= 0.0:
            self.next_heartbeat_at = self.now + HEARTBEAT_INTERVAL_MS - TICK_INTERVAL_MS / 4.0
            self.unanswered_since = self.now
            self._send_heartbeat_to_current()
        if not self.has_no_controller and self.now >= self.next_preferred_check_at:
            self.next_preferred_check_at = self._preferred_check_at()
            self._contact_preferred()
        self.effects.append(SetTimer(TICK_INTERVAL_MS * self.random.uniform(0.9, 1.1)))

    def _preferred_check_at(self) -> float:
        return self.now + PREFERRED_CHECK_INTERVAL_MS * self.random.uniform(0.5, 1.0)

    def _contact_candidates(self) -> None:
        self._send_heartbeat_to_current()
        for _ in range(min(PARALLEL_CANDIDATES, len(self.controllers))):
            self._send_heartbeat(self.controllers[self.next_candidate_index])
            self.next_candidate_index = (self.next_candidate_index + 1) % len(self.controllers)

    def _contact_preferred(self) -> None:
        if self.current is not None:
            rank = self.rank[self.current.name]
            for preferred in self.controllers[: min(rank, PARALLEL_CANDIDATES)]:
                self._send_heartbeat(preferred)

    def _send_heartbeat_to_current(self) -> None:
        if self.current is not None:
            self._send_heartbeat(self.current)

    def _send_heartbeat(self, to: ControllerAddress) -> None:
        is_current = to is self.current
        previous_controller = ""
        if is_current and self.reattachment_heartbeats_left:
            self.reattachment_heartbeats_left -= 1
            previous_controller = self.previous_controller
        self.counts[published_counters.HEARTBEATS_SENT] += 1
        heartbeat = Heartbeat(
            self.known_version,
            self.digest,
            self.applied_version,
            self.rejection_reason[:MAX_REASON_CHARACTERS],
            self.needs_snapshot,
            is_current,
            previous_controller,
        )
        self.effects.append(SendMessage(to.sender, heartbeat))

    def _on_message(self, event: MessageReceived) -> None:
        source = self._known_controller(event)
        if source is None:
            return
        message = event.message
        if self._should_attach_to(source):
            self._attach_to(source)
        if source is self.current:
            self.last_received_at, self.unanswered_since = self.now, NOT_SET_MS
        elif not isinstance(message, LatestVersion):
            # A controller sends updates only to relays that it considers attached.
            self.effects.append(SendMessage(source.sender, Detach()))
        if isinstance(message, LatestVersion):
            self._on_latest_version(message)
        elif isinstance(message, Delta):
            self._on_delta(message)
        elif isinstance(message, Snapshot):
            self._on_snapshot(message)

    def _known_controller(self, event: MessageReceived) -> ControllerAddress | None:
        rank = self.rank.get(event.sender.name)
        if rank is not None and self.controllers[rank].address == event.sender.address:
            return self.controllers[rank]
        (host, port) = event.sender.address
        self.counts[published_counters.UNKNOWN_SENDERS] += 1
        self._log(
            f"ignored a message of {event.sender.name} at {host}:{port}: no [[control.machine]] has this name and "
            "address",
            rate_limited=True,
        )
        return None

    def _should_attach_to(self, source: ControllerAddress) -> bool:
        if self.current is None:
            return True
        is_preferred = self.rank[source.name] < self.rank[self.current.name]
        return source is not self.current and (self.has_no_controller or is_preferred)

    def _attach_to(self, to: ControllerAddress) -> None:
        if self.current is not None:
            self.previous_controller = self.current.name
            self.reattachment_heartbeats_left = REATTACHMENT_HEARTBEATS
            self.effects.append(SendMessage(self.current.sender, Detach()))
            self.counts[published_counters.REATTACHMENTS] += 1
        self.current = to
        self.last_received_at = self.now
        self._send_heartbeat(to)

    # --- versions ---------------------------------------------------------------------------------

    def _on_latest_version(self, message: LatestVersion) -> None:
        if message.version == self.known_version and message.digest != self.digest:
            self._on_digest_mismatch()
        if message.version >= self.known_version:
            self.controllers_behind_since = NOT_SET_MS
        elif self.controllers_behind_since < 0.0:
            self.controllers_behind_since = self.now
        elif self.now >= self.controllers_behind_since + NEWER_VERSION_TOLERANCE_MS:
            self.controllers_behind_since = self.now
            self._log(
                f"the controllers have version {message.version}, but this relay has the newer version "
                f"{self.known_version}: the controllers have lost committed versions or belong to another fleet; "
                f"this relay keeps its settings until it receives a version above {self.known_version}",
                is_warning=True,
            )

    def _on_digest_mismatch(self) -> None:
        self.counts[published_counters.DIGEST_MISMATCHES] += 1
        self._log(
            f"version {self.known_version} has different content on this relay and on the controller (digests differ); "
            "the next version is requested as a snapshot",
            rate_limited=True,
            is_warning=True,
        )
        self.needs_snapshot = True

    def _on_delta(self, message: Delta) -> None:
        if message.version <= self.known_version:
            return
        if message.base > self.known_version or message.version - message.base != len(message.steps):
            self._send_heartbeat_to_current()  # steps are missing: the heartbeat reports the known version
            return
        entries: Entries = self.entries
        for step in message.steps[self.known_version - message.base :]:
            entries = apply_step(entries, step)
        self._adopt(message.version, entries, message.digest)

    def _on_snapshot(self, message: Snapshot) -> None:
        if message.version > self.known_version:
            self.counts[published_counters.SNAPSHOTS] += 1
            self._adopt(message.version, message.entries, message.digest)

    def _adopt(self, version: int, entries: Entries, digest: bytes) -> None:
        """Adopt a version if its content matches the digest; otherwise request a snapshot."""
        if content_digest(version, entries) != digest or entries_bounds_error(entries):
            self.counts[published_counters.INVALID_UPDATES] += 1
            # Only the first mismatch causes an immediate request: with a permanently faulty sender, requests and
            # answers would follow each other without a pause.
            if not self.needs_snapshot:
                self.needs_snapshot = True
                self._send_heartbeat_to_current()
            return
        self.needs_snapshot, self.controllers_behind_since = False, NOT_SET_MS
        self.known_version, self.entries, self.digest = version, dict(entries), digest
        self._apply()
        self._send_heartbeat_to_current()

    def _apply(self) -> None:
        """Apply the known version, or reject it if the check fails."""
        reason = self.check(self.entries) if self.entries else ""
        if reason:
            self._reject(reason)
            return
        keys = self.entries.keys() | self.applied_entries.keys()
        changed_keys = frozenset(key for key in keys if self.entries.get(key) != self.applied_entries.get(key))
        self.previous_applied = (self.applied_version, self.applied_entries)
        self.applied_version, self.applied_entries = self.known_version, self.entries
        self.rejection_reason = ""
        self.effects.append(ApplySettings(self.known_version, self.entries, changed_keys))
        self.effects.append(Persist(self.known_version, self.entries))

    def _reject(self, reason: str) -> None:
        self.rejection_reason = reason
        self.counts[published_counters.REJECTED_VERSIONS] += 1
        text = f"version {self.known_version} is rejected, version {self.applied_version} remains applied: {reason}"
        self._log(text, is_warning=True)

    def _log(self, text: str, *, rate_limited: bool = False, is_warning: bool = False) -> None:
        self.effects.append(LogMessage(text, rate_limited, is_warning))
