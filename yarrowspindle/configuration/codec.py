"""Messages of control as bytes, and what is kept in files: MessagePack by msgspec, pressed, bounded, checked."""

from __future__ import annotations

from yarrowspindle.configuration.messages import (
    Delta,
    Detach,
    Heartbeat,
    LatestVersion,
    NewerIncarnation,
    Persist,
    RelayReattached,
    RelaySummary,
    Snapshot,
    StateUpdate,
)
from yarrowspindle.configuration.state import MAX_DONE, MAX_NAME, ChangeOrder, ControlState, bounds
from yarrowspindle.consensus.acceptor import AcceptorState
from yarrowspindle.consensus.messages import Accept, Accepted, Prepare, Promise, Rejected
from yarrowspindle.protocol.message_codec import InvalidMessageError, MessageCodec
from yarrowspindle.storage.file_codec import FileCodec

VERSION = 1
MAX_VOTERS, MAX_TAKERS = 64, 64


def within(state: ControlState | None) -> None:
    """A state that no controller could have made is not taken up, whoever sent it."""
    if state is None:
        return
    versions = [done.version for done in state.done]
    if (
        not 0 < len(state.voters) <= MAX_VOTERS
        or len(state.takers) > MAX_TAKERS
        or len(versions) > MAX_DONE
        or any(len(name) > MAX_NAME for name in [*state.voters, *state.takers])
        or versions != list(range(state.version - len(versions) + 1, state.version + 1))
        or bool(versions) != (state.version > 0)
        or min(state.version, state.epoch) < 0
        or bounds(state.entries)
    ):
        raise InvalidMessageError("a state out of bounds")


def _kept_within(kept: Persist) -> None:
    if not 0 < kept.version < 1 << 53 or bounds(kept.entries):
        raise InvalidMessageError("entries out of bounds")


KINDS = (
    Heartbeat,
    LatestVersion,
    Delta,
    Snapshot,
    Detach,
    RelayReattached,
    NewerIncarnation,
    RelaySummary,
    StateUpdate,
    ChangeOrder,
    Prepare,
    Promise[ControlState],
    Accept[ControlState],
    Accepted,
    Rejected[ControlState],
)
MESSAGES = MessageCodec(VERSION, KINDS, within)
FILE: FileCodec[AcceptorState[ControlState]] = FileCodec(
    VERSION, AcceptorState[ControlState], lambda kept: within(kept.state)
)
TAKEN: FileCodec[Persist] = FileCodec(VERSION, Persist, _kept_within)  # by a relay
AGREED: FileCodec[ControlState] = FileCodec(VERSION, ControlState, within)  # what a controller knows is committed
encode, decode = MESSAGES.encode, MESSAGES.decode
