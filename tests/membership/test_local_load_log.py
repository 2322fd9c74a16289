"""The log of the local load: the number of pending changes is bounded."""

from __future__ import annotations

from yarrowspindle.membership.events import LocalLoad
from yarrowspindle.membership.local_load_log import MAX_ENTRIES, LocalLoadLog


def test_changes_without_room_are_discarded_and_the_receiver_requests_all_loads() -> None:
    """Pending changes must not grow without bound if more loads change per signal than fit into a datagram."""
    log, received_version = LocalLoadLog(), 0
    for number in range(200):
        loads = {key: (1, 100.0 + 37.0 * ((number + key) % 2)) for key in range(600)}
        signal = log.next_signal(LocalLoad(loads), 1000.0 + 100.0 * number)
        if signal.base_version <= received_version:
            received_version = signal.version
    assert len(log.pending) <= 400 + 600 // (MAX_ENTRIES // 2)
    assert signal.base_version > received_version, "a receiver of every signal knows that a version is missing"
