"""The adapter reads and writes bytes that were derived by hand from the specification of the wire format."""

from __future__ import annotations

import io
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from yarrowspindle.decisions.actions import (
    CancelAttempt,
    FailRequest,
    LogMessage,
    MigrateConnection,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from yarrowspindle.decisions.events import (
    AttemptEnded,
    ConnectionEstablished,
    EndpointList,
    EndpointState,
    ListKind,
    LoadChanged,
    Outcome,
    RequestReceived,
    SlowMessageObserved,
)
from yarrowspindle.decisions.settings import DeduplicationScope, Idempotency
from yarrowspindle.protocol import platform_settings as settings
from yarrowspindle.simulator import adapter, wire

ROOT = Path(__file__).resolve().parents[2]
BASIC = {
    "categories.count": "1",
    "categories.0.slo_ms": "500.0",
    "categories.0.deadline_ms": "2000.0",
    "categories.0.effect": "pure",
    "slot_no": "0",
    "balancers": "1",
    "obligations.drain_grace_ms": "500.0",
    "obligations.answer_slack_ms": "8.0",
    "obligations.cold_share": "0.12",
    "obligations.cold_ms": "24000.0",
    "obligations.fall_multiple": "3.0",
    "obligations.fall_ms": "2000.0",
    "limits.max_attempts": "3",
    "limits.retry_after": "true",
    "limits.cancel": "true",
}
EMPTY = bytes.fromhex("01000000 00000000 00000000 00000000206ec040")
EMPTY_REPLY = bytes.fromhex("01000000 00000000 00000000")
MEMBERS = bytes.fromhex(
    "f203 33000000 02 29000000 02000000"
    "074a1203 00 00 0000 01 0000803f 0000000000000000"
    "f211902c 01 00 0000 01 0000c03f 0000000000d4b740"
)
DEMAND = bytes.fromhex(
    "fc03 2c000000 c4913a5d 0000 00000000 640ad2557c3bf0910000000000006e40 0000000000002840 107cf3d901648e2b 0100"
)


def record(code: int, body: bytes) -> bytes:
    return struct.pack("<HI", code, len(body)) + body


def instance(number: int) -> bytes:
    return record(1120, struct.pack("<I", number))


def create(pairs: dict[str, str], seed: int = 5) -> bytes:
    text = "\n".join(f"{path}={value}" for path, value in pairs.items()).encode()
    return record(1000, struct.pack("<QI", seed, len(text)) + text)


def frame(number: int, clock: float, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIId", number, len(body), len(records), clock) + body


def serve(data: bytes) -> bytes:
    sink = io.BytesIO()
    adapter.serve(io.BytesIO(data), sink)
    return sink.getvalue()


def read(body_record: bytes) -> object:
    code, size = struct.unpack_from("<HI", body_record)
    return adapter.READERS[code](body_record, 6, 6 + size)


def test_an_empty_batch_has_an_empty_reply() -> None:
    assert serve(EMPTY) == EMPTY_REPLY


def test_a_members_record_is_read_as_specified() -> None:
    event = read(MEMBERS)
    assert isinstance(event, EndpointList) and (event.kind, event.version) == (ListKind.CACHED, 41)
    first, second = event.entries
    assert (first.backend, first.zone, first.state, first.capacity, first.started_ms) == (
        0x03124A07,
        0,
        EndpointState.READY,
        1.0,
        0.0,
    )
    assert (second.backend, second.zone, second.capacity, second.started_ms) == (0x2C9011F2, 1, 1.5, 6100.0)


def test_a_demand_record_is_read_as_specified() -> None:
    key, group = 0x91F03B7C55D20A64, 0x2B8E6401D9F37C10
    assert read(DEMAND) == RequestReceived(0x5D3A91C4, 0, 0, key, 240.0, 12.0, group)


def test_a_load_hint_without_its_flag_is_ignored() -> None:
    event = read(DEMAND[:-2] + b"\x1e\x00")
    assert isinstance(event, RequestReceived) and event.load == 0.0
    assert event.repeated and event.mid_flow and event.returned


def test_a_done_record_is_read_as_specified() -> None:
    done = bytes.fromhex("1004 16000000 c4913a5d 0000 074a1203 01 6400 0000000000803240 00")
    assert read(done) == AttemptEnded(0x5D3A91C4, 0, 0x03124A07, Outcome.OK, True, 18.5)


@pytest.mark.parametrize(
    ("code", "outcome"),
    [
        (100, Outcome.OK),
        (301, Outcome.ERROR),
        (302, Outcome.REJECTED),
        (303, Outcome.TIMEOUT),
        (304, Outcome.CONNECT_FAILED),
        (305, Outcome.RESET),
        (306, Outcome.CANCELLED),
        (307, Outcome.NOT_SENT),
    ],
)
def test_every_outcome_has_its_code(code: int, outcome: Outcome) -> None:
    event = read(record(1040, struct.pack("<IHIBHdB2f", 1, 2, 3, 0, code, 4.0, 2, 0.5, 0.6)))
    assert event == AttemptEnded(1, 2, 3, outcome, False, 4.0)


def test_the_other_events() -> None:
    assert read(record(1030, struct.pack("<IHdI", 9, 1, 2.5, 7))) == ConnectionEstablished(9, 1, 7, 2.5)
    assert read(record(1110, struct.pack("<IIBfH", 9, 7, 1, 2500.0, 0))) == LoadChanged(9, 7, 2.5)
    assert read(record(1110, struct.pack("<IIBfH", 9, 7, 2, 80.0, 0))) == SlowMessageObserved(9, 7, 80.0)
    assert read(record(1110, struct.pack("<IIBfH", 9, 7, 3, 80.0, 0))) is None  # an unknown kind of signal
    longer = record(1030, struct.pack("<IHdI", 9, 1, 2.5, 7) + b"new")
    assert read(longer) == ConnectionEstablished(9, 1, 7, 2.5)  # fields after those it knows are ignored


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        (StartAttempt(0x5D3A91C4, 0x03124A07, 80.0), "fc03 10000000 c4913a5d 074a1203 0000000000005440"),
        (SetTimer(500.0, 77), "2e04 0c000000 0000000000407f40 4d000000"),
        (RejectRequest(1, 2.0), "1a04 0c000000 01000000 0000000000000040"),
        (FailRequest(1), "4204 04000000 01000000"),
        (MigrateConnection(1), "6a04 04000000 01000000"),
        (CancelAttempt(1, 2), "f203 06000000 01000000 0200"),
        (WatchEndpoints(), "4c04 01000000 01"),
        (LogMessage("two servers known"), "3804 13000000 1100 74776f2073657276657273206b6e6f776e"),
    ],
)
def test_actions_are_written_as_specified(action: object, expected: str) -> None:
    assert adapter.encode(action) == bytes.fromhex(expected)  # type: ignore[arg-type]


def test_a_request_goes_out_under_its_instance() -> None:
    reply = serve(frame(1, 6e4, instance(3), create(BASIC), MEMBERS, DEMAND))
    number, size, count = struct.unpack_from("<III", reply)
    assert (number, size, count) == (1, len(reply) - 12, 2)
    assert reply[12:22] == bytes.fromhex("6004 04000000 03000000")
    code, _, request, backend, _ = struct.unpack_from("<HIIId", reply, 22)
    assert (code, request) == (1020, 0x5D3A91C4) and backend in (0x03124A07, 0x2C9011F2)


def test_kill_and_create_in_one_batch_start_anew() -> None:
    first = frame(1, 6e4, instance(3), create(BASIC), MEMBERS, DEMAND)
    again = frame(2, 6e4, instance(3), record(1090, b""), create(BASIC, 6), MEMBERS, DEMAND)
    reply = serve(first + again)
    assert reply.count(bytes.fromhex("c4913a5d")) == 2


def test_settings_are_renamed_and_unknown_ones_ignored() -> None:
    pairs = BASIC | {
        "azs": "a,b",
        "zone": "1",
        "discovery": "subscribe",
        "categories.0.effect": "token",
        "categories.0.group": "cell",
        "family_info.message_aim_ms": "90.0",
        "new.thing": "x",
        "realms.count": "1",
        "realms.0.share": "0.5",
        "deductions.cross_zone": "0.12",
        "family_info.tenant_quota_connections": "null",
    }
    parsed = settings.read_settings(pairs)
    assert (
        parsed.zone,
        parsed.zones,
        parsed.polls_discovery,
        parsed.initial_capacity_fraction,
        parsed.cross_zone_price,
    ) == (
        1,
        2,
        True,
        0.12,
        0.12,
    )
    request_class = parsed.classes[0]
    assert (
        request_class.idempotency,
        request_class.deduplication_scope,
        request_class.message_latency_objective_ms,
    ) == (
        Idempotency.KEYED,
        DeduplicationScope.CELL,
        90.0,
    )
    assert parsed.tenants[0].share == 0.5 and parsed.tenants[0].quota_connections == 0.0


BAD = {
    "cut header": EMPTY[:10],
    "cut frame": struct.pack("<IIId", 1, 50, 1, 0.0) + b"abc",
    "record longer than frame": frame(1, 0.0, struct.pack("<HI", 1120, 99) + b"\0" * 4),
    "short record": frame(1, 0.0, record(1120, b"\0")),
    "bytes left over": struct.pack("<IIId", 1, 4, 0, 0.0) + b"\0" * 4,
    "event before create": frame(1, 0.0, instance(1), DEMAND),
    "setting missing": frame(1, 0.0, instance(1), create({k: v for k, v in BASIC.items() if k != "slot_no"})),
    "setting out of range": frame(1, 0.0, instance(1), create(BASIC | {"obligations.cold_share": "0"})),
    "setting not a number": frame(1, 0.0, instance(1), create(BASIC | {"balancers": "many"})),
    "setting not finite": frame(1, 0.0, instance(1), create(BASIC | {"balancers": "inf"})),
    "unknown outcome": frame(
        1, 6e4, instance(1), create(BASIC), MEMBERS, record(1040, struct.pack("<IHIBHdB", 1, 0, 3, 0, 999, 4.0, 0))
    ),
    "cut list": frame(1, 0.0, instance(1), create(BASIC), record(1010, struct.pack("<BII", 2, 1, 5))),
}


@pytest.mark.parametrize("name", sorted(BAD))
def test_bad_input_raises_an_error_that_ends_the_adapter(name: str) -> None:
    with pytest.raises((wire.WireError, settings.SettingsError)):
        serve(BAD[name])


@pytest.mark.parametrize("name", ["cut frame", "setting missing"])
def test_bad_input_ends_the_adapter_with_one_plain_line(name: str) -> None:
    process = subprocess.run(
        [sys.executable, "-B", "-m", "yarrowspindle.simulator.adapter"],
        input=BAD[name],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    assert process.returncode != 0
    assert process.stderr.decode().count("\n") == 1 and process.stderr.startswith(b"adapter: ")


def test_an_unknown_record_is_skipped_by_its_length() -> None:
    plain = serve(frame(1, 6e4, instance(1), create(BASIC), MEMBERS, DEMAND))
    assert serve(frame(1, 6e4, instance(1), create(BASIC), MEMBERS, record(1999, b"abc"), DEMAND)) == plain


def test_an_exception_in_a_balancer_is_reported_with_its_text() -> None:
    reply = serve(frame(1, 6e4, instance(1), create(BASIC), MEMBERS, DEMAND, DEMAND))
    assert b"ValueError: request" in reply and reply[22:24] == (1000).to_bytes(2, "little")
