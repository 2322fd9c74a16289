"""A QUIC client's datagram, as one process of a relay passes it on to another one."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass

from yarrowspindle.routing.address import Address

HEADER = struct.Struct("!4sHB")  # the client's IPv4 address and port, whether the sender ends


@dataclass(frozen=True, slots=True)
class ForwardedDatagram:
    """A datagram of a connection that the process which received it does not have.

    Attributes:
        client: the address from which the client sent it.
        sender_ends: whether the process that received it is shutting down and leaves new connections to others.
        data: the datagram.
    """

    client: Address
    sender_ends: bool
    data: bytes

    def encode(self) -> bytes:
        """Return the bytes for the link between the processes."""
        host, port = self.client
        return HEADER.pack(socket.inet_aton(host), port, self.sender_ends) + self.data

    @classmethod
    def decode(cls, body: bytes) -> ForwardedDatagram:
        """Return the datagram of these bytes. Raise ValueError if they are too short."""
        if len(body) <= HEADER.size:
            raise ValueError("a forwarded datagram is incomplete")
        host, port, sender_ends = HEADER.unpack_from(body)
        return cls((socket.inet_ntoa(host), port), bool(sender_ends), body[HEADER.size :])
