"""Encoded forms are compatible with older builds, whose bytes and names are recorded in `tests/forms/`.

This build encodes the same bytes, and decodes what older builds sent, stored or published.
"""

from __future__ import annotations

import io
import json
from typing import Any

import pytest

from tests.forms import record, samples
from yarrowspindle.configuration import codec as control_codec
from yarrowspindle.maintenance import codec as turns_codec
from yarrowspindle.membership.codec import Codec
from yarrowspindle.replay.sequence import read_sequence

RECORDED: dict[str, list[str]] = json.loads(record.FILES["bytes"].read_text(encoding="utf-8"))
PUBLISHED: dict[str, Any] = json.loads(record.FILES["published"].read_text(encoding="utf-8"))
DECODERS = {"turns": turns_codec.decode, "control": control_codec.decode, "peers": Codec(samples.CLUSTER).decode}
SAMPLES = {
    "turns": samples.turns_messages,
    "control": samples.control_messages,
    "peers": samples.peers_datagrams,
}


@pytest.mark.parametrize("form", RECORDED)
def test_the_bytes_are_those_recorded(form: str) -> None:
    assert record.encoded()[form] == RECORDED[form]


@pytest.mark.parametrize("form", SAMPLES)
def test_recorded_messages_are_understood(form: str) -> None:
    found = [DECODERS[form](bytes.fromhex(data)) for data in RECORDED[form]]
    assert found == SAMPLES[form]()


@pytest.mark.parametrize(("number", "name"), list(enumerate(samples.stored())))
def test_recorded_files_are_read(number: int, name: str) -> None:
    codec, value = samples.stored()[name]
    assert codec.decode(bytes.fromhex(RECORDED["files"][number]), samples.OWNER, samples.CLUSTER) == value


def test_a_recorded_sequence_is_read_and_written_the_same() -> None:
    recorded = record.FILES["sequence"].read_bytes()
    header, events = read_sequence(io.BytesIO(recorded))
    assert (header.settings, header.seed, header.started) == (samples.SETTINGS, 7, 1700000000000.0)
    assert [event for _, event in events] == samples.sequence_events()
    assert samples.sequence() == recorded


@pytest.mark.parametrize("name", PUBLISHED)
def test_published_names_are_those_recorded(name: str) -> None:
    assert json.loads(json.dumps(record.published_names()[name])) == PUBLISHED[name]
