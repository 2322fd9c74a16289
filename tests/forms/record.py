"""Records the forms that reach bytes as data beside this file: `python -m tests.forms.record`.

Run once, on the last commit before the names in the code changed (aff2634). `tests/test_forms.py` holds every later
build to what was recorded. It is run again only where a form is changed on purpose.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from tests.forms import published, samples
from yarrowspindle.configuration import codec as control_codec
from yarrowspindle.maintenance import codec as turns_codec
from yarrowspindle.membership.codec import Codec

HERE = Path(__file__).parent
FILES = {"bytes": HERE / "bytes.json", "published": HERE / "published.json", "sequence": HERE / "sequence.jsonl"}


def encoded() -> dict[str, list[str]]:
    """Each sample as hexadecimal digits."""
    datagrams = Codec(samples.CLUSTER)
    return {
        "turns": [turns_codec.encode(message).hex() for message in samples.turns_messages()],
        "control": [control_codec.encode(message).hex() for message in samples.control_messages()],
        "peers": [datagrams.encode(datagram).hex() for datagram in samples.peers_datagrams()],
        "parcels": [part.hex() for part in samples.parcels()],
        "files": [
            codec.encode(value, samples.OWNER, samples.CLUSTER).hex() for codec, value in samples.stored().values()
        ],
    }


def published_names() -> dict[str, Any]:
    return {
        "metrics": published.metrics(),
        "telemetry": published.telemetry(),
        "turns show": published.shown_turns(),
        "control show": published.shown_control(),
        "commands": published.commands(),
    }


def main() -> None:
    FILES["bytes"].write_text(json.dumps(encoded(), indent=1) + "\n", encoding="utf-8")
    FILES["published"].write_text(json.dumps(published_names(), indent=1) + "\n", encoding="utf-8")
    FILES["sequence"].write_bytes(samples.sequence())


if __name__ == "__main__":
    main()
