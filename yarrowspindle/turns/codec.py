"""What relays tell one another of turns, and what a voter's file holds: MessagePack by msgspec, bounded and checked.

A message is cut into parcels (`parcels.py`) that ride in peers' datagrams. A state is small, and pressed by zlib.
"""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

from yarrowspindle.turns.core import Behind, Enter, Learn, Newest, Says
from yarrowspindle.turns.register import Accept, Accepted, Kept, Prepare, Promise, Refused
from yarrowspindle.turns.state import MACHINES_MOST, NAME_MOST, RELAYS_MOST, REQUESTS_MOST, TurnState

VERSION = 1
MOST = 1 << 20  # bytes of a message once it is unpressed
KINDS: dict[int, Any] = {1: Prepare, 2: Promise[TurnState], 3: Accept[TurnState], 4: Accepted, 5: Refused[TurnState],
                         6: Learn, 7: Behind, 8: Says, 9: Enter, 10: Newest}  # fmt: skip
OF = {Prepare: 1, Promise: 2, Accept: 3, Accepted: 4, Refused: 5, Learn: 6, Behind: 7, Says: 8, Enter: 9, Newest: 10}
_encode = msgspec.msgpack.Encoder().encode
_decoders = {kind: msgspec.msgpack.Decoder(body) for kind, body in KINDS.items()}
_kept = msgspec.msgpack.Decoder(Kept[TurnState])
_file: msgspec.msgpack.Decoder[tuple[int, int, str, str, msgspec.Raw]] = msgspec.msgpack.Decoder(
    tuple[int, int, str, str, msgspec.Raw])  # fmt: skip
TROUBLES = (msgspec.DecodeError, msgspec.ValidationError, ValueError, zlib.error, OverflowError)


class BadMessage(Exception):
    """What came makes no sense; the text says why, in a few words."""


def _within(state: TurnState | None) -> None:
    """A state that no relay could have made is not taken up, whoever sent it."""
    if state is None:
        return
    names = [*state.voters, *state.relays, *state.out]
    if (len(state.requests) > 2 * REQUESTS_MOST + 1 or len(state.out) > REQUESTS_MOST * MACHINES_MOST
            or len(state.relays) > RELAYS_MOST or len(state.voters) > 64 or not state.voters
            or any(len(name) > NAME_MOST for name in names)
            or min(state.version, state.epoch, state.turn) < 0):  # fmt: skip
        raise BadMessage("a state out of bounds")


def encode(message: Any) -> bytes:
    return bytes((VERSION, OF[type(message)])) + zlib.compress(_encode(message), 1)


def decode(data: bytes) -> Any:
    if len(data) < 3 or data[0] != VERSION:
        raise BadMessage("another version")
    decoder = _decoders.get(data[1])
    if decoder is None:
        raise BadMessage("an unknown kind")
    try:
        unpress = zlib.decompressobj()
        plain = unpress.decompress(data[2:], MOST)
        if not unpress.eof:
            raise BadMessage("too long")
        message = decoder.decode(plain)
    except TROUBLES:
        raise BadMessage("nonsense") from None
    _within(getattr(message, "state", None) or getattr(message, "newer", None))
    return message


def encode_file(kept: Kept[TurnState], owner: str, cluster: str) -> bytes:
    body = _encode(kept)
    return _encode((VERSION, zlib.crc32(body), owner, cluster, msgspec.Raw(body)))


def decode_file(data: bytes, owner: str, cluster: str) -> Kept[TurnState]:
    """Raises BadMessage where the file is cut off, changed, another relay's, or of another cluster."""
    try:
        version, check, whose, where, raw = _file.decode(data)
    except TROUBLES:
        raise BadMessage("it is cut off, or no such file") from None
    body = bytes(raw)
    if version != VERSION:
        raise BadMessage(f"its version is {version}, not {VERSION}")
    if zlib.crc32(body) != check:
        raise BadMessage("its sum is wrong")
    if (whose, where) != (owner, cluster):
        raise BadMessage(f"it is {whose}'s of cluster {where}")
    try:
        kept = _kept.decode(body)
    except TROUBLES:
        raise BadMessage("nonsense") from None
    _within(kept.state)
    return kept
