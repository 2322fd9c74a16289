"""Codecs of maintenance: messages between relays, and the file of a voter.

A message is cut into fragments (`protocol/fragments.py`) that travel in the datagrams of the membership protocol.
"""

from __future__ import annotations

from yarrowspindle.consensus.acceptor import AcceptorState
from yarrowspindle.consensus.messages import Accept, Accepted, Prepare, Promise, Rejected
from yarrowspindle.maintenance.messages import (
    CatchUpRequest,
    LatestVersion,
    RegisterRelay,
    ReleaseConfirmation,
    StateUpdate,
)
from yarrowspindle.maintenance.requests import MAX_BACKENDS, MAX_NAME_LENGTH
from yarrowspindle.maintenance.state import MAX_RELAYS, MAX_REQUESTS, MaintenanceState
from yarrowspindle.protocol.message_codec import InvalidMessageError, MessageCodec
from yarrowspindle.storage.file_codec import FileCodec

VERSION = 1
MAX_DECODED_VOTERS = 64
MAX_DECODED_REQUESTS = 2 * MAX_REQUESTS + 1  # queued and ended requests
MAX_DECODED_EVACUATIONS = MAX_REQUESTS * MAX_BACKENDS


def _check_bounds(state: MaintenanceState | None) -> None:
    """Check the bounds of a received state.

    Raises:
        InvalidMessageError: No relay could have produced the state.
    """
    if state is None:
        return
    names = [*state.voters, *state.relays, *state.evacuations]
    if (
        len(state.requests) > MAX_DECODED_REQUESTS
        or len(state.evacuations) > MAX_DECODED_EVACUATIONS
        or len(state.relays) > MAX_RELAYS
        or len(state.voters) > MAX_DECODED_VOTERS
        or not state.voters
        or any(len(name) > MAX_NAME_LENGTH for name in names)
        or min(state.version, state.epoch, state.last_evacuation_number) < 0
    ):
        raise InvalidMessageError("the state is out of bounds")


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
    _check_bounds,
)
FILE: FileCodec[AcceptorState[MaintenanceState]] = FileCodec(
    VERSION, AcceptorState[MaintenanceState], lambda stored: _check_bounds(stored.state)
)
encode, decode = MESSAGES.encode, MESSAGES.decode
encode_file, decode_file = FILE.encode, FILE.decode
