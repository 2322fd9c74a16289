"""`python -m yarrowspindle.replay FILE [--by daemon|library] [--choices]`: prints the choices, then a summary.

The exit status is 0 where each request had at most one final answer, 1 where one had two, 2 where the file cannot be
read.
"""

from __future__ import annotations

import argparse
import hashlib
import sys
import time
from pathlib import Path

import msgspec

from yarrowspindle.replay.player import play_daemon, play_library
from yarrowspindle.replay.sequence import SequenceError, read_sequence


def main() -> int:
    """Plays the sequence and prints what was chosen. Returns the exit status."""
    parser = argparse.ArgumentParser(prog="python -m yarrowspindle.replay", description="Play a recorded sequence.")
    parser.add_argument("file")
    parser.add_argument("--by", choices=("daemon", "library"), default="daemon")
    parser.add_argument("--choices", action="store_true", help="print each choice as a line of JSON")
    chosen = parser.parse_args()
    started = time.perf_counter()
    try:
        with Path(chosen.file).open("rb") as source:
            header, events = read_sequence(source)
            played = (play_daemon if chosen.by == "daemon" else play_library)(header, events)
    except (OSError, SequenceError) as error:
        print(f"{chosen.file}: {error}", file=sys.stderr)
        return 2
    digest = hashlib.sha256()
    for choice in played.choices:
        line = msgspec.json.encode(choice)
        digest.update(line + b"\n")
        if chosen.choices:
            print(line.decode())
    answers = played.counts()
    summary = {
        "by": chosen.by,
        "jobs": len(played.answers),
        "choices": len(played.choices),
        "digest": digest.hexdigest(),
        "answers": answers,
        "took_s": round(time.perf_counter() - started, 2),
    }
    print(msgspec.json.encode(summary).decode())
    return 1 if answers["second"] else 0


if __name__ == "__main__":
    sys.exit(main())
