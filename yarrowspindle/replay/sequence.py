"""The format of a recorded sequence: JSON Lines with a header and then an event on each line; see `docs/library.md`.

{"form":"yarrowspindle-sequence","version":1,"seed":7,"started":1700000000000.0,"settings":{...}}
[1700000000000.0,"ListTold",{"kind":2,"machines":[...],"version":1}]
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, BinaryIO

import msgspec

from yarrowspindle.decisions.settings import Settings
from yarrowspindle.replay.recorded_form import EVENT_NAMES, EVENTS, RecordedRebalance, from_recorded, to_recorded
from yarrowspindle.routing import events
from yarrowspindle.routing.events import Event

FORM, VERSION = "yarrowspindle-sequence", 1
MAX_LINE_BYTES = 16 << 20  # enough for an endpoint list of tens of thousands of backends


class SequenceError(ValueError):
    """The file is not a sequence, or is damaged; the message names the line."""


class Header(msgspec.Struct, frozen=True):
    """The first line of a sequence.

    Attributes:
        seed: The seed of the reducer's random source.
        started: The time at which the recording started, in Unix milliseconds.
        settings: The settings of the balancer.
        form: The name of the format.
        version: The version of the format.
    """

    seed: int
    started: float
    settings: Settings
    form: str = FORM
    version: int = VERSION


LINE_DECODER = msgspec.json.Decoder(tuple[float, str, Any])


class Recorder:
    """A writer of a sequence: append `event` to `Runtime.event_observers`, or call it with each event and its time.

    Args:
        out: The binary file to which the sequence is written.
        settings: The settings of the balancer.
        seed: The seed of the reducer's random source.
        started: The time at which the recording starts, in Unix milliseconds.
    """

    def __init__(self, out: BinaryIO, settings: Settings, seed: int, started: float) -> None:
        self.out = out
        self.events = 0
        self.encoder = msgspec.json.Encoder()
        header = msgspec.structs.asdict(Header(seed, started, settings)) | {"settings": to_recorded(settings)}
        out.write(self.encoder.encode(header) + b"\n")

    def event(self, now: float, event: Event) -> None:
        """Write an event with its time in Unix milliseconds."""
        name = EVENT_NAMES[type(event)]
        self.out.write(self.encoder.encode((now, name, to_recorded(event))) + b"\n")
        self.events += 1


def read_sequence(source: BinaryIO) -> tuple[Header, Iterator[tuple[float, Event]]]:
    """Return the header of a sequence, and an iterator that reads its events with their times in Unix milliseconds.

    Raises:
        SequenceError: The file is not a sequence; while iterating, a line is damaged.
    """
    try:
        raw_header = msgspec.json.decode(source.readline(MAX_LINE_BYTES), type=dict[str, Any])
        settings = from_recorded(Settings, raw_header.get("settings"))
        header = msgspec.convert(raw_header | {"settings": settings}, Header, str_keys=True)
    except (msgspec.MsgspecError, ValueError) as error:
        raise SequenceError(f"line 1 is not a valid header of a sequence: {error}") from error
    if header.form != FORM or header.version != VERSION:
        raise SequenceError(f"line 1: unsupported format {header.form} {header.version}; expected {FORM} {VERSION}")
    return header, _events(source)


def _events(source: BinaryIO) -> Iterator[tuple[float, Event]]:
    line_number, previous_ms = 1, 0.0
    while line := source.readline(MAX_LINE_BYTES):
        line_number += 1
        try:
            time_ms, name, recorded = LINE_DECODER.decode(line)
            event_type = EVENTS.get(name)
            if event_type is None:
                raise SequenceError(f"line {line_number}: unknown event {name!r}")
            event: Any = msgspec.convert(from_recorded(event_type, recorded), event_type, str_keys=True)
        except msgspec.MsgspecError as error:
            raise SequenceError(f"line {line_number} cannot be decoded: {error}") from error
        if time_ms < previous_ms:
            raise SequenceError(f"line {line_number}: the time decreases from {previous_ms} to {time_ms}")
        previous_ms = time_ms
        if isinstance(event, events.TimerFired) and isinstance(event.timer, list):
            event.timer = tuple(event.timer)  # timers are tuples, which JSON does not have
        if isinstance(event, RecordedRebalance):
            event = events.RebalancingConfigured(event.settings, event.seed)
        yield time_ms, event
