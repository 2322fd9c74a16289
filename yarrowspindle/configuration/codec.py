"""Codecs for messages and stored files: compressed MessagePack whose size and content are checked on decoding."""

from __future__ import annotations

from yarrowspindle.configuration.effects import Persist
from yarrowspindle.configuration.messages import (
    Delta,
    Detach,
    Heartbeat,
    LatestVersion,
    NewerIncarnation,
    RelayReattached,
    RelaySummary,
    Snapshot,
    StateUpdate,
)
from yarrowspindle.configuration.state import (
    MAX_NAME_CHARACTERS,
    MAX_RECENT_STEPS,
    ChangeOrder,
    ControlState,
    entries_bounds_error,
)
from yarrowspindle.consensus.acceptor import AcceptorState
from yarrowspindle.consensus.messages import Accept, Accepted, Prepare, Promise, Rejected
from yarrowspindle.protocol.message_codec import InvalidMessageError, MessageCodec
from yarrowspindle.storage.file_codec import FileCodec

VERSION = 1  # of the encoding
MAX_VOTERS = 64
MAX_ACCEPTING_CONTROLLERS = 64
MAX_VERSION = (1 << 53) - 1


def check_state_bounds(state: ControlState | None) -> None:
    """Check that a controller could have created this state.

    Raises:
        InvalidMessageError: The state is invalid. The text becomes part of the name of a published counter.
    """
    if state is None:
        return
    versions = [recent.version for recent in state.recent_steps]
    first_version = state.version - len(versions) + 1
    names = [*state.voters, *state.last_settled]
    if (
        not 0 < len(state.voters) <= MAX_VOTERS
        or len(state.last_settled) > MAX_ACCEPTING_CONTROLLERS
        or len(versions) > MAX_RECENT_STEPS
        or any(len(name) > MAX_NAME_CHARACTERS for name in names)
        or versions != list(range(first_version, state.version + 1))
        or bool(versions) != (state.version > 0)
        or min(state.version, state.epoch) < 0
        or entries_bounds_error(state.entries)
    ):
        raise InvalidMessageError("a state out of bounds")


def _check_acceptor_state(acceptor_state: AcceptorState[ControlState]) -> None:
    check_state_bounds(acceptor_state.state)


def _check_applied_settings(applied: Persist) -> None:
    if not 0 < applied.version <= MAX_VERSION or entries_bounds_error(applied.entries):
        raise InvalidMessageError("its version or its entries are out of bounds")


# The position of a type, counted from 1, is its number on the wire: append new types at the end.
MESSAGE_TYPES = (
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
MESSAGES = MessageCodec(VERSION, MESSAGE_TYPES, check_state_bounds)
ACCEPTOR_FILE: FileCodec[AcceptorState[ControlState]] = FileCodec(
    VERSION, AcceptorState[ControlState], _check_acceptor_state
)
# The version and entries that a relay applied last.
APPLIED_SETTINGS_FILE: FileCodec[Persist] = FileCodec(VERSION, Persist, _check_applied_settings)
# The newest committed state that a controller knows.
COMMITTED_STATE_FILE: FileCodec[ControlState] = FileCodec(VERSION, ControlState, check_state_bounds)
encode, decode = MESSAGES.encode, MESSAGES.decode
