"""Replay a recorded sequence: `python -m yarrowspindle.replay FILE [--by daemon|library] [--choices]`.

Prints the choices if `--choices` is given, then a summary. The exit status is 0 if each request had at most one final
answer, 1 if a request had more, and 2 if the file cannot be read.
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
    """Replay the sequence and print the choices and the summary. Return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m yarrowspindle.replay", description="Replay a recorded sequence.")
    parser.add_argument("file")
    parser.add_argument("--by", choices=("daemon", "library"), default="daemon")
    parser.add_argument("--choices", action="store_true", help="print each choice as a line of JSON")
    arguments = parser.parse_args()
    started_s = time.perf_counter()
    try:
        with Path(arguments.file).open("rb") as file:
            header, events = read_sequence(file)
            result = (play_daemon if arguments.by == "daemon" else play_library)(header, events)
    except (OSError, SequenceError) as error:
        print(f"{arguments.file}: {error}", file=sys.stderr)
        return 2
    digest = hashlib.sha256()
    for choice in result.choices:
        line = msgspec.json.encode(choice)
        digest.update(line + b"\n")
        if arguments.choices:
            print(line.decode())
    answers = result.counts()
    summary = {
        "by": arguments.by,
        "jobs": len(result.answers),
        "choices": len(result.choices),
        "digest": digest.hexdigest(),
        "answers": answers,
        "took_s": round(time.perf_counter() - started_s, 2),
    }
    print(msgspec.json.encode(summary).decode())
    return 1 if answers["second"] else 0


if __name__ == "__main__":
    sys.exit(main())
