"""What relays tell one another of turns, and what a voter's file holds: MessagePack by msgspec, bounded and checked.

A message is cut into parcels (`parcels.py`) that ride in peers' datagrams. A state is small, and pressed by zlib.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Sequence
from typing import Any, Generic, TypeVar

import msgspec

from yarrowspindle.consensus.register import Accept, Accepted, AcceptorState, Prepare, Promise, Rejected
from yarrowspindle.maintenance.coordinator import (
    CatchUpRequest,
    LatestVersion,
    RegisterRelay,
    ReleaseConfirmation,
    StateUpdate,
)
from yarrowspindle.maintenance.state import MAX_MACHINES, MAX_NAME, MAX_RELAYS, MAX_REQUESTS, MaintenanceState

VERSION = 1
MOST = 1 << 20  # bytes of a message once it is unpressed
TROUBLES = (msgspec.DecodeError, msgspec.ValidationError, ValueError, zlib.error, OverflowError)
_encode = msgspec.msgpack.Encoder().encode
K = TypeVar("K")


class InvalidMessageError(Exception):
    """What came makes no sense; the text says why, in a few words."""


class MessageCodec:
    """Messages of some types as bytes: a version, the kind, the pressed body. kinds: numbered from 1 in their order.
    within: raises BadMessage for a state that is out of bounds."""

    def __init__(self, version: int, kinds: Sequence[Any], within: Callable[[Any], None]) -> None:
        self.version, self.within = version, within
        self.numbers = {getattr(kind, "__origin__", kind): n for n, kind in enumerate(kinds, 1)}
        self.decoders = {n: msgspec.msgpack.Decoder(kind) for n, kind in enumerate(kinds, 1)}

    def encode(self, message: Any) -> bytes:
        return bytes((self.version, self.numbers[type(message)])) + zlib.compress(_encode(message), 1)

    def decode(self, data: bytes) -> Any:
        """Raises BadMessage."""
        if len(data) < 3 or data[0] != self.version:
            raise InvalidMessageError("another version")
        decoder = self.decoders.get(data[1])
        if decoder is None:
            raise InvalidMessageError("an unknown kind")
        try:
            unpress = zlib.decompressobj()
            plain = unpress.decompress(data[2:], MOST)
            if not unpress.eof:
                raise InvalidMessageError("too long")
            message = decoder.decode(plain)
        except TROUBLES:
            raise InvalidMessageError("nonsense") from None
        self.within(getattr(message, "state", None) or getattr(message, "newer", None))
        return message


class FileCodec(Generic[K]):
    """What a process keeps, as the bytes of its file. kept: the type. within: raises BadMessage for what is out of
    bounds."""

    def __init__(self, version: int, kept: Any, within: Callable[[K], None]) -> None:
        self.version, self.within = version, within
        self.kept: msgspec.msgpack.Decoder[K] = msgspec.msgpack.Decoder(kept)
        self.head = msgspec.msgpack.Decoder(tuple[int, int, str, str, msgspec.Raw])

    def encode(self, kept: K, owner: str, cluster: str) -> bytes:
        body = _encode(kept)
        return _encode((self.version, zlib.crc32(body), owner, cluster, msgspec.Raw(body)))

    def decode(self, data: bytes, owner: str, cluster: str) -> K:
        """Raises BadMessage where the file is cut off, changed, another relay's, or of another cluster."""
        try:
            version, check, whose, where, raw = self.head.decode(data)
        except TROUBLES:
            raise InvalidMessageError("it is cut off, or no such file") from None
        body = bytes(raw)
        if version != self.version:
            raise InvalidMessageError(f"its version is {version}, not {self.version}")
        if zlib.crc32(body) != check:
            raise InvalidMessageError("its sum is wrong")
        if (whose, where) != (owner, cluster):
            raise InvalidMessageError(f"it is {whose}'s of cluster {where}")
        try:
            kept = self.kept.decode(body)
        except TROUBLES:
            raise InvalidMessageError("nonsense") from None
        self.within(kept)
        return kept


def _within(state: MaintenanceState | None) -> None:
    """A state that no relay could have made is not taken up, whoever sent it."""
    if state is None:
        return
    names = [*state.voters, *state.relays, *state.out]
    if (
        len(state.requests) > 2 * MAX_REQUESTS + 1
        or len(state.out) > MAX_REQUESTS * MAX_MACHINES
        or len(state.relays) > MAX_RELAYS
        or len(state.voters) > 64
        or not state.voters
        or any(len(name) > MAX_NAME for name in names)
        or min(state.version, state.epoch, state.turn) < 0
    ):
        raise InvalidMessageError("a state out of bounds")


MESSAGES = MessageCodec(
    VERSION,
    (
        Prepare,
        Promise[MaintenanceState],
        Accept[MaintenanceState],
        Accepted,
        Rejected[MaintenanceState],
        StateUpdate,
        CatchUpRequest,
        ReleaseConfirmation,
        RegisterRelay,
        LatestVersion,
    ),
    _within,
)
FILE: FileCodec[AcceptorState[MaintenanceState]] = FileCodec(
    VERSION, AcceptorState[MaintenanceState], lambda kept: _within(kept.state)
)
encode, decode = MESSAGES.encode, MESSAGES.decode
encode_file, decode_file = FILE.encode, FILE.decode
