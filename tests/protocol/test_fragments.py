"""Reassembly of messages whose fragments are lost, duplicated and reordered."""

from __future__ import annotations

from random import Random

from yarrowspindle.protocol.fragments import (
    FRAGMENT_BYTES,
    REASSEMBLY_TIMEOUT_MS,
    REQUEST_INTERVAL_MS,
    Fragmenter,
    FragmentResult,
)


def test_a_message_is_reassembled_though_fragments_are_lost_duplicated_and_reordered() -> None:
    random = Random(3)
    sender = Fragmenter(100)
    receiver = Fragmenter(5)
    data = random.randbytes(20 * FRAGMENT_BYTES + 17)
    fragments = sender.split("receiver", data)
    assert len(fragments) == 21 and all(len(fragment) < 1000 for fragment in fragments)
    wire = [fragment for fragment in fragments * 2 if random.random() > 0.4]
    random.shuffle(wire)
    now, messages = 0.0, list[bytes]()
    for _ in range(20):
        for fragment in wire:
            message, _ = receiver.on_datagram(now, "sender", fragment)
            messages += [message] if message is not None else []
        now += REQUEST_INTERVAL_MS
        replies = [sender.on_datagram(now, "receiver", request)[1] for _, request in receiver.requests_due(now)]
        wire = [fragment for reply in replies for fragment in reply if random.random() > 0.4]
    assert messages == [data], "the message is delivered once and unchanged"
    assert (
        receiver.on_datagram(now, "sender", b"nonsense") == FragmentResult()
        and receiver.on_datagram(now, "elsewhere", fragments[0]) == FragmentResult()
    )
    assert receiver.requests_due(now + REQUEST_INTERVAL_MS) and not receiver.requests_due(
        now + REASSEMBLY_TIMEOUT_MS
    ), "a message that stays incomplete is dropped"
