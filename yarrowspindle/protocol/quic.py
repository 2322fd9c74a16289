"""The parts of QUIC that a relay needs: headers, connection ids that identify a backend, and packets of its own.

Headers follow RFC 8999 and RFC 9000, section 17. The packets that a relay generates itself are an Initial that refuses
a connection, a Stateless Reset and a Version Negotiation packet.
"""

from __future__ import annotations

import hashlib
import hmac
import os
from dataclasses import dataclass

from aioquic._buffer import Buffer, BufferReadError
from aioquic._crypto import CryptoError
from aioquic.buffer import encode_uint_var
from aioquic.quic.crypto import CryptoPair
from aioquic.quic.packet import (
    QuicErrorCode,
    QuicFrameType,
    QuicPacketType,
    QuicProtocolVersion,
    encode_long_header_first_byte,
    encode_quic_version_negotiation,
    pull_quic_header,
)
from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes

VERSIONS = (QuicProtocolVersion.VERSION_1, QuicProtocolVersion.VERSION_2)
MIN_INITIAL_DATAGRAM_BYTES = 1200  # RFC 9000 section 14.1: an Initial in a smaller datagram is discarded
CONNECTION_ID_BYTES = 17
SERVER_ID_BYTES, CONNECTION_NUMBER_BYTES = 6, 4
KEY_BYTES = 16  # of the key that encrypts connection ids
MIN_LONG_HEADER_BYTES = 7  # first byte, version, and the lengths of two connection ids
FIRST_OCTET = CONNECTION_ID_BYTES - 1  # config rotation 0 and the length of the rest of the id
RESET_TOKEN_BYTES = 16
MIN_RESET_BYTES, MAX_RESET_BYTES = 21, 43
CONNECTION_REFUSED = int(QuicErrorCode.CONNECTION_REFUSED)

ConnectionKey = tuple[int, int]  # a backend's server id, and the backend's number for the connection


class PacketError(Exception):
    """A datagram that is invalid under RFC 8999 and RFC 9000."""


@dataclass(slots=True, frozen=True)
class Header:
    """The fields of a packet's header that a relay uses.

    Attributes:
        kind: The packet type; None if the version is not supported.
        version: The version; 0 for short headers and for Version Negotiation.
        destination: The destination connection id.
        source: The source connection id; empty in short headers.
        length: The size in bytes of this packet within its datagram.
    """

    kind: QuicPacketType | None
    version: int
    destination: bytes
    source: bytes
    length: int

    @property
    def short(self) -> bool:
        """Whether it is a short header, which packets of an established connection have."""
        return self.kind is QuicPacketType.ONE_RTT


def parse_invariant(data: bytes) -> Header:
    """Parse the version-independent fields (RFC 8999) of a long header. Raise PacketError if they are incomplete."""
    if len(data) < MIN_LONG_HEADER_BYTES:
        raise PacketError(f"{len(data)} bytes are too few for a long header")
    offset, ids = 5, []
    for _ in "ds":
        if offset >= len(data) or offset + 1 + data[offset] > len(data):
            raise PacketError("a connection id of the long header is truncated")
        ids.append(data[offset + 1 : offset + 1 + data[offset]])
        offset += 1 + data[offset]
    return Header(None, int.from_bytes(data[1:5], "big"), ids[0], ids[1], len(data))


def parse_header(data: bytes, short_length: int = CONNECTION_ID_BYTES) -> Header:
    """Parse the header of the first packet of a datagram.

    Args:
        data: The datagram.
        short_length: The size in bytes of the connection ids in short headers.

    Raises:
        PacketError: The header is invalid.
    """
    if not data:
        raise PacketError("the datagram is empty")
    if data[0] & 0x80:
        invariant = parse_invariant(data)
        if invariant.version not in VERSIONS and invariant.version != 0:
            return invariant
    elif len(data) < 1 + short_length + 4:
        raise PacketError(f"{len(data)} bytes are too few for a short header")
    try:
        header = pull_quic_header(Buffer(data=data), host_cid_length=short_length)
    except (ValueError, BufferReadError) as error:
        raise PacketError(str(error)) from error
    return Header(
        header.packet_type, header.version or 0, header.destination_cid, header.source_cid, header.packet_length
    )


def parse_datagram(data: bytes, short_length: int) -> list[Header]:
    """Parse the headers of a datagram's packets.

    An invalid header after the first ends the list. Raise PacketError if the first is invalid.
    """
    headers = [parse_header(data, short_length)]
    offset = headers[0].length
    while offset < len(data) and data[offset] & 0x80:
        try:
            headers.append(parse_header(data[offset:], short_length))
        except PacketError:
            break
        offset += headers[-1].length
    return headers


class ConnectionIdCodec:
    """Encoder of connection ids like QUIC-LB's single-pass encryption, with a key that backends and relays share.

    The encrypted block holds the server id and a nonce, unique among the ids of that server: the connection's number
    and a sequence number. The connection's number lets a relay count connections by their ids.
    """

    def __init__(self, key: bytes) -> None:
        if len(key) != KEY_BYTES:
            raise ValueError(f"the key of the connection ids has {len(key)} bytes instead of {KEY_BYTES}")
        self.cipher = Cipher(algorithms.AES(key), modes.ECB())  # ECB for one block only, never for a longer message

    def encode(self, server: int, connection: int, sequence: int) -> bytes:
        """Return the connection id with this sequence number of one connection of a server."""
        block = (
            server.to_bytes(SERVER_ID_BYTES, "big")
            + connection.to_bytes(CONNECTION_NUMBER_BYTES, "big")
            + sequence.to_bytes(6, "big")
        )
        sealed = self.cipher.encryptor()
        return bytes([FIRST_OCTET]) + sealed.update(block) + sealed.finalize()

    def decode(self, cid: bytes) -> ConnectionKey | None:
        """Return the server and connection that an id belongs to; None if it has another form."""
        if len(cid) != CONNECTION_ID_BYTES or cid[0] != FIRST_OCTET:
            return None
        opened = self.cipher.decryptor()
        block = opened.update(cid[1:]) + opened.finalize()
        return (
            int.from_bytes(block[:SERVER_ID_BYTES], "big"),
            int.from_bytes(block[SERVER_ID_BYTES : SERVER_ID_BYTES + CONNECTION_NUMBER_BYTES], "big"),
        )


def reset_token(key: bytes, cid: bytes) -> bytes:
    """Return the Stateless Reset token of a connection id, from a static key (RFC 9000, section 10.3.2).

    Backends and relays share the key.
    """
    return hmac.new(key, cid, hashlib.sha256).digest()[:RESET_TOKEN_BYTES]


def stateless_reset(token: bytes, datagram_bytes: int) -> bytes | None:
    """Return a Stateless Reset in reply to a datagram of the given size; None if that is too small.

    The reset is smaller than the datagram, so that two endpoints cannot answer each other's resets for ever.
    """
    size = min(datagram_bytes - 1, MAX_RESET_BYTES)
    if size < MIN_RESET_BYTES:
        return None
    noise = bytearray(os.urandom(size - RESET_TOKEN_BYTES))
    noise[0] = noise[0] & 0x3F | 0x40
    return bytes(noise) + token


def initial_close(version: int, original: bytes, client: bytes, code: int, reason: str) -> bytes:
    """Return an Initial packet that closes a connection before it is established.

    Args:
        version: The QUIC version of the client's Initial.
        original: The destination connection id of the client's first Initial, from which the keys are derived.
        client: The client's own connection id.
        code: The transport error code.
        reason: The reason phrase.
    """
    text = reason.encode()
    frame = (
        encode_uint_var(int(QuicFrameType.TRANSPORT_CLOSE))
        + encode_uint_var(code)
        + encode_uint_var(0)
        + encode_uint_var(len(text))
        + text
    )
    pair = CryptoPair()
    pair.setup_initial(cid=original, is_client=False, version=version)
    number_size = 2
    head = (
        bytes([encode_long_header_first_byte(version, QuicPacketType.INITIAL, number_size - 1)])
        + version.to_bytes(4, "big")
        + bytes([len(client)])
        + client
        + bytes([len(original)])
        + original
        + encode_uint_var(0)  # no token
        + encode_uint_var(number_size + len(frame) + pair.aead_tag_size)
        + bytes(number_size)  # packet number 0
    )
    return pair.encrypt_packet(head, frame, 0)


def close_code(packet: bytes, header: Header, original: bytes) -> int | None:
    """Return the error code of the CONNECTION_CLOSE frame in a backend's Initial; None if it has no such frame.

    Args:
        packet: The datagram that begins with the Initial.
        header: The header of the Initial.
        original: The destination connection id of the client's first Initial.
    """
    pair = CryptoPair()
    pair.setup_initial(cid=original, is_client=True, version=header.version)
    buffer = Buffer(data=packet[: header.length])
    try:
        skip_to_packet_number(buffer)
        _, payload, _ = pair.decrypt_packet(packet[: header.length], buffer.tell(), 0)
        frames = Buffer(data=payload)
        while not frames.eof():
            kind = frames.pull_uint_var()
            if kind == QuicFrameType.TRANSPORT_CLOSE:
                return frames.pull_uint_var()
            if kind in (QuicFrameType.ACK, QuicFrameType.ACK_ECN):
                skip_ack(frames, kind)
            elif kind not in (QuicFrameType.PADDING, QuicFrameType.PING):
                return None  # such as CRYPTO: the handshake continues
    except (CryptoError, BufferReadError, ValueError):
        return None
    return None


def skip_to_packet_number(buffer: Buffer) -> None:
    """Advance the buffer to the packet number of an Initial."""
    buffer.pull_bytes(5)
    for _ in "ds":
        buffer.pull_bytes(buffer.pull_uint8())
    buffer.pull_bytes(buffer.pull_uint_var())  # the token
    buffer.pull_uint_var()  # the length


def skip_ack(frames: Buffer, kind: int) -> None:
    """Advance the buffer past an ACK frame of this type."""
    frames.pull_uint_var()
    frames.pull_uint_var()
    for _ in range(2 * frames.pull_uint_var() + 1):
        frames.pull_uint_var()
    for _ in range(3 if kind == QuicFrameType.ACK_ECN else 0):
        frames.pull_uint_var()


def version_negotiation(header: Header) -> bytes:
    """Return the Version Negotiation packet that answers a long header of an unsupported version."""
    return encode_quic_version_negotiation(
        source_cid=header.destination, destination_cid=header.source, supported_versions=[int(v) for v in VERSIONS]
    )
