"""Parsers and encoders of the line protocol, the endpoint list, the settings, Graphite and collectd."""

from __future__ import annotations

import json
import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yarrowspindle.daemon.config import ConfigError, flatten
from yarrowspindle.daemon.operator_config import QuicConfig, read_operator_config
from yarrowspindle.decisions.events import EndpointState, ListKind
from yarrowspindle.protocol import collectd, graphite, lines
from yarrowspindle.protocol.endpoint_list import ListError, WatchResponse, ZoneAndKindNames
from yarrowspindle.protocol.lines import (
    LineError,
    LineKind,
    LineSplitter,
    OpeningReader,
    parse_line_kind,
    parse_load,
    parse_open,
    rejection_line,
)
from yarrowspindle.routing.events import EndpointsUpdated

LINE = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=2000,g=5c0f6e1a2b3d4c59"
LIST = (
    b'{"revision":41,"complete":true,"members":[{"id":"s-5be2a07c","host_port":"10.1.0.18:3000","locality":"b",'
    b'"flavor":"m2","cell":3,"phase":"draining","size":1.5,"up_since_ms":7}]}\n'
)
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def test_the_open_line_is_forwarded_unchanged_except_for_the_remaining_time() -> None:
    opened = parse_open(LINE.encode())
    assert opened.forward(1234.9).decode() == LINE.replace("d=2000", "d=1234") + "\r\n"
    assert opened.key == 0x7F3A9C21E0B4D655 and opened.get("t") == "acme" and opened.number("h") == 0.0


@pytest.mark.parametrize(
    "invalid",
    [
        "",
        "OPEN",
        LINE + " x",
        LINE + ",d=3",
        LINE.replace("9b1", ""),
        LINE.replace("9b1", "9B1"),
        LINE.replace("2000", "2_000"),
        LINE.replace("2000", "+2"),
        LINE.replace("2000", "1e3"),
        LINE.replace("2000", "0x10"),
        LINE.replace("2000", "9" * 10),
        LINE.replace("d=2000", "d=-1"),
        LINE.replace(",d=2000", ""),
        LINE.replace("2000", "nan"),
        LINE.replace("=", ""),
        "GET / HTTP/1.1 x",
        "OPEN \xe9",
    ],
)
def test_an_invalid_open_line_is_rejected(invalid: str) -> None:
    with pytest.raises(LineError):
        parse_open(invalid.encode("latin-1"))


@settings(derandomize=True, max_examples=60)
@given(st.lists(st.text("ab ", max_size=5), max_size=6), st.lists(st.integers(0, 40), max_size=5))
def test_lines_do_not_depend_on_chunk_boundaries(texts: list[str], cuts: list[int]) -> None:
    data, splitter, split_lines, offset = "".join(t + "\r\n" for t in texts).encode() + b"rest", LineSplitter(), [], 0
    for cut in [*sorted(cuts), len(data)]:
        split_lines += splitter.feed(data[offset:cut])
        offset = max(offset, cut)
    assert split_lines == [t.encode() for t in texts] and splitter.rest == b"rest" and not splitter.at_boundary


@settings(derandomize=True, max_examples=60)
@given(st.integers(0, 6), st.integers(1, 40), st.sampled_from(["", "x", "\r\n", LINE + "\r\n"]))
def test_the_opening_does_not_depend_on_chunk_boundaries_and_allows_one_open_line(
    probes: int, size: int, trailing: str
) -> None:
    data, opening = ("PING\r\nSTATS\r\n" * probes + LINE + "\r\n" + trailing).encode(), OpeningReader()
    answers, opened, rejected = b"", None, False
    for offset in range(0, len(data), size):
        try:
            replies, opened = opening.feed(data[offset : offset + size])
        except LineError:
            rejected = True
            break
        answers += replies
        if opened is not None:
            rejected = offset + size < len(data)  # the connection handles further data as sent too early
            break
    assert rejected == (2 * probes > lines.MAX_PROBES or bool(trailing))
    assert rejected or (opened == parse_open(LINE.encode()) and answers == b"PONG\r\nNO\r\n" * probes)


@pytest.mark.parametrize(
    "invalid", [b"x" * lines.MAX_LINE_BYTES, b"x" * lines.MAX_LINE_BYTES + b"\r\n", b"PING\n", b"\r\n", b"\0\r\n"]
)
def test_an_opening_that_is_too_long_or_malformed_is_rejected_at_once(invalid: bytes) -> None:
    with pytest.raises(LineError):
        OpeningReader().feed(invalid)


def test_line_kinds_loads_and_rejection_lines() -> None:
    assert [parse_line_kind(w) for w in (b"UP r", b"BYE", b"MOVE", b"ERR", b"BUSY 3", b"LOAD 2", b"UPS", b"")] == [
        LineKind.UP,
        LineKind.BYE,
        LineKind.MOVE,
        LineKind.ERR,
        LineKind.BUSY,
        LineKind.LOAD,
        LineKind.OTHER,
        LineKind.OTHER,
    ]
    assert [parse_load(b) for b in (b"LOAD 2.5", b"LOAD", b"LOAD x", b"LOAD -1", b"LOAD nan")] == [2.5] + 4 * [None]
    assert rejection_line(0.0) == b"BUSY\r\n" and rejection_line(1499.6) == b"BUSY 1500\r\n"
    with pytest.raises(LineError):
        LineSplitter().feed(b"x" * (lines.MAX_LINE_BYTES + 1))


@settings(derandomize=True, max_examples=30)
@given(st.integers(1, 60), st.integers(1, 60))
def test_a_watch_does_not_depend_on_chunk_boundaries_or_indentation(first_size: int, second_size: int) -> None:
    indented = json.dumps(json.loads(LIST) | {"note": 'a "{" in a string, \\"'}, indent=first_size % 3).encode() + b"\n"
    body = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in (LIST[:30], LIST[30:], b"\n", indented))
    data, answer, updates = (
        HEAD + body,
        WatchResponse(ZoneAndKindNames(["a", "b"], ["m1", "m2"])),
        list[EndpointsUpdated](),
    )
    for offset in range(0, len(data), first_size + second_size):
        updates += answer.feed(data[offset : offset + first_size])
        updates += answer.feed(data[offset + first_size : offset + first_size + second_size])
    assert len(updates) == 2 and updates[0].kind is ListKind.FULL and updates[0].version == 41 and not answer.ended
    (endpoint,) = updates[0].endpoints
    assert (
        endpoint.name,
        endpoint.address,
        endpoint.state,
        endpoint.zone,
        endpoint.kind,
        endpoint.cell,
        endpoint.capacity,
        endpoint.started_ms,
    ) == (
        "s-5be2a07c",
        ("10.1.0.18", 3000),
        EndpointState.DRAINING,
        1,
        1,
        3,
        1.5,
        7.0,
    )


@pytest.mark.parametrize(
    "invalid, reason",
    [
        (b"HTTP/1.1 503 Busy\r\n\r\n", "HTTP status 503 instead of 200"),
        (b"nonsense\r\n\r\n", "response is not HTTP"),
        (HEAD + b"3\r\n{]\n\r\n", "not JSON"),
        (HEAD + b"3\r\n[]\n\r\n", "without members"),
        (HEAD + b"%x\r\n%s\r\n" % (len(LIST), LIST.replace(b"draining", b"sleeping")), "an invalid member or revision"),
        (HEAD + b"%x\r\n%s\r\n" % (len(LIST) - 5, LIST.replace(b":3000", b"")), "not an address"),
    ],
)
def test_an_invalid_response_fails_the_watch_with_the_reason(invalid: bytes, reason: str) -> None:
    with pytest.raises(ListError, match=reason):
        WatchResponse(ZoneAndKindNames()).feed(invalid)


def test_settings_are_flattened_like_the_simulators() -> None:
    nested = {"a": {"b": [1.0, 2.0], "c": None}, "list": [{"x": True}, {"x": "y"}], "none": []}
    assert dict(flatten(nested)) == {
        "a.b": "1.0,2.0",
        "a.c": "null",
        "list.count": "2",
        "list.0.x": "true",
        "list.1.x": "y",
        "none": "",
    }


def test_the_operators_file() -> None:
    quic = f'[quic]\nlisten = "127.0.0.1:4433"\nid_key = "{"00" * 16}"\nreset_key = "{"11" * 32}"\nidle_s = 5\n'
    assert read_operator_config("").quic is None
    assert read_operator_config(quic).quic == QuicConfig(("127.0.0.1", 4433), bytes(16), b"\x11" * 32, idle_s=5)
    for invalid in ("[quic]\n", quic.replace("00", "0"), quic + "x = 1\n", "nonsense", quic.replace('"127', '1"127')):
        with pytest.raises(ConfigError):
            read_operator_config(invalid)


def test_graphite_has_one_line_per_value() -> None:
    assert graphite.plaintext("ys.n 0", {"a.b": 3.0, "c/d": 0.5}, 17.9) == b"ys.n_0.a.b 3 17\nys.n_0.c_d 0.5 17\n"


def parts(packet: bytes) -> list[tuple[int, bytes]]:
    parsed, offset = [], 0
    while offset < len(packet):
        kind, length = struct.unpack_from(">HH", packet, offset)
        parsed.append((kind, packet[offset + 4 : offset + length]))
        offset += length
    return parsed


def test_collectd_packets_hold_all_values_in_parts_and_stay_small() -> None:
    counters = {f"c{i}": i for i in range(100)}
    packets = list(collectd.packets("n0", counters, {"g": 2.5}, 10.5, 10.0))
    assert len(packets) > 1 and max(map(len, packets)) <= collectd.MAX_PACKET_BYTES
    assert all(parts(p)[0] == (0, b"n0\0") and parts(p)[1] == (8, struct.pack(">Q", 21 << 29)) for p in packets)
    values = [body for p in packets for kind, body in parts(p) if kind == collectd.VALUES]
    assert values[7] == b"\0\1\2" + (7).to_bytes(8, "big") and values[-1] == b"\0\1\1" + struct.pack("<d", 2.5)
    assert len(values) == 101


PARTS = st.sampled_from(
    ["a", "", "LOAD 3", "LOAD", "LOAD x", "LOADS 1", "BYE", "LOAD 2.5", "x LOAD 9", "ERR", "b\r", "\r"]
)


@settings(derandomize=True, max_examples=200)
@given(st.lists(PARTS, min_size=1, max_size=14))
def test_the_summary_of_a_block_of_lines_is_that_of_its_lines(texts: list[str]) -> None:
    """Guard against a summary that differs from what the lines say one by one, wherever LOAD lines stand."""
    parts = [text.encode() for text in texts]
    kinds = [parse_line_kind(part) for part in parts]
    loads = [
        load for part, kind in zip(parts, kinds, strict=True) if kind is LineKind.LOAD and (load := parse_load(part))
    ]
    others = [kind for kind in kinds if kind is not LineKind.LOAD]
    summary = lines.summarize_backend_lines(b"".join(part + b"\r\n" for part in parts))
    assert (list(summary.loads), *summary[1:]) == (loads, len(others), others[-1] if others else None)


def test_the_summary_of_very_many_lines_holds_the_newest_loads() -> None:
    block = b"".join(b"LOAD %d\r\n" % number for number in range(1000))
    summary = lines.summarize_backend_lines(b"x\r\n" + block)
    assert (
        list(summary.loads) == [float(number) for number in range(1000 - lines.MAX_LOADS, 1000)] and summary.others == 1
    )
    assert lines.summarize_backend_lines(b"LOAD 4\r\n" + b"x\r\n" * 1000) == lines.BackendLines(
        [4.0], 1000, LineKind.OTHER
    )


@settings(derandomize=True, max_examples=200)
@given(
    st.lists(st.sampled_from([0, 1, 5, 2000, lines.MAX_LINE_BYTES, lines.MAX_LINE_BYTES + 1]), max_size=6),
    st.integers(1, 5000),
)
def test_a_line_is_too_long_wherever_the_pieces_end(lengths: list[int], size: int) -> None:
    """Guard against a line of the greatest length that is refused where a piece ends within its CRLF."""
    splitter, received, error = LineSplitter(), b"", False
    data = b"".join(b"x" * length + b"\r\n" for length in lengths)
    valid = next((number for number, length in enumerate(lengths) if length > lines.MAX_LINE_BYTES), len(lengths))
    for offset in range(0, len(data), size):
        try:
            received += splitter.feed_block(data[offset : offset + size])
        except lines.LineTooLongError as too_long:
            received, error = received + too_long.lines_before, True
            break
    assert error == (valid < len(lengths))
    assert received == b"".join(b"x" * length + b"\r\n" for length in lengths[:valid])
