"""What two processes of one relay share while an upgrade lasts: a few small files in $TMPDIR.

    NAME-relay.json   who serves: its name and process id
    NAME-ask.json     a new process beside it wants to know what it must know
    NAME-state.json   the answer, renewed while both live: `routing.messages.Beside` and the machine list as last told

Each is written whole under another name and renamed. Whatever is missing, old, of another relay or another version, too
large or makes no sense is ignored, with a line in the log. It decides nothing.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from loguru import logger

from yarrowspindle.routing.messages import Beside

VERSION = 1
LARGEST = 1 << 16  # bytes of a file; a longer machine list is left out, and asked for anyway
FRESH_S = 3.0  # a state older than this says nothing any more
LOOK_S, RENEW_S = 0.1, 0.25  # how often the old process looks for a question, and renews its answer
WAIT_S = 0.5  # the new process waits for its answer no longer

Snapshot = Callable[[], tuple[Beside, dict[str, Any] | None]]


class HandoverError(Exception):
    """A file that cannot be trusted."""


def alive(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except PermissionError:
        return True
    except OSError:
        return False
    return True


def write(path: Path, data: dict[str, Any]) -> bool:
    text = json.dumps(data)
    if len(text) > LARGEST:
        return False
    new = path.with_name(f"{path.name}.{os.getpid()}")
    new.write_text(text, encoding="utf-8")
    new.replace(path)
    return True


def read(path: Path, name: str) -> dict[str, Any] | None:
    """None where there is no such file; raises HandoverError where it cannot be trusted."""
    try:
        if path.stat().st_size > LARGEST:
            raise HandoverError(f"{path.name} is too large")
        data = json.loads(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return None
    except (OSError, ValueError, RecursionError) as error:
        raise HandoverError(f"{path.name} cannot be read: {error}") from error
    if not isinstance(data, dict) or data.get("version") != VERSION:
        raise HandoverError(f"{path.name} is of another version")
    if data.get("name") != name:
        raise HandoverError(f"{path.name} is another relay's")
    if not isinstance(data.get("pid"), int) or not isinstance(data.get("at"), int | float):
        raise HandoverError(f"{path.name} makes no sense")
    return data


def beside_of(data: dict[str, Any]) -> Beside:
    """What the state file says of connections; raises HandoverError."""
    try:
        held = {str(n): (int(count), float(load)) for n, (count, load) in data["held"].items()}
        avoided = {str(n): float(ms) for n, ms in data["avoided"].items()}
        ended = float(data["ended"])
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise HandoverError(f"state.json makes no sense: {error!r}") from error
    figures = [ended, *avoided.values(), *(load for _, load in held.values()), *(count for count, _ in held.values())]
    if not all(0.0 <= figure < 1e12 for figure in figures):
        raise HandoverError("state.json holds figures out of range")
    return Beside(held, avoided, ended)


class Handover:
    """One process's part in it: first perhaps as the new one, then as the old one."""

    def __init__(self, directory: str | None, name: str, pid: int = 0) -> None:
        self.name, self.pid = name, pid or os.getpid()
        plain = re.sub(r"[^A-Za-z0-9_-]", "_", name)[:64]
        self.relay, self.asked, self.state = (Path(directory) / f"{plain}-{what}.json" if directory else None
                                              for what in ("relay", "ask", "state"))  # fmt: skip
        self.before = 0  # the old process beside which this one was started
        self.after = 0  # the new process that has asked this one
        self.renewed = 0.0
        self.beat: asyncio.TimerHandle | None = None
        self.complained: set[str] = set()  # bounded by the kinds of complaint

    def _head(self) -> dict[str, Any]:
        return {"version": VERSION, "name": self.name, "pid": self.pid, "at": time.time()}

    def _read(self, path: Path | None) -> dict[str, Any] | None:
        try:
            return read(path, self.name) if path is not None else None
        except HandoverError as error:
            if str(error) not in self.complained and len(self.complained) < 16:
                self.complained.add(str(error))
                logger.warning("the hand-over is ignored: {}", error)
            return None

    def _write(self, path: Path | None, data: dict[str, Any]) -> bool:
        try:
            return path is not None and write(path, self._head() | data)
        except OSError as error:
            if "write" not in self.complained:
                self.complained.add("write")
                logger.warning("nothing can be handed over: {}", error)
            return False

    # --- the new process ------------------------------------------------------------------------

    def ask(self) -> None:
        """As early as can be: the answer takes the old process a tenth of a second."""
        serves = self._read(self.relay)
        if serves is not None and serves["pid"] != self.pid and alive(serves["pid"]):
            self.before = serves["pid"]
            self._write(self.asked, {})

    def collect(self) -> dict[str, Any] | None:
        """The old process's state, if there is one and it answers in time."""
        until = time.monotonic() + WAIT_S
        while self.before:
            found = self.look()
            if found is not None:
                return found
            if time.monotonic() >= until or not alive(self.before):
                logger.warning("the process {} beside this one has handed nothing over", self.before)
                self.before = 0
                break
            time.sleep(0.01)
        return None

    def look(self) -> dict[str, Any] | None:
        """The newest word of the old process for this one; None where there is none."""
        found = self._read(self.state)
        if found is None or found["pid"] != self.before or found.get("for") != self.pid:
            return None
        return found if abs(time.time() - found["at"]) <= FRESH_S else None

    # --- the old process ------------------------------------------------------------------------

    def serve(self, snapshot: Snapshot, told: Callable[[Beside], None]) -> None:
        """From here on this process is the relay. `snapshot`: what to hand over; `told` is given what the old process
        still holds, while it lives, and nothing at all once it has ended."""
        if self.relay is not None:
            self._write(self.relay, {})
            self._beat(snapshot, told)

    def _beat(self, snapshot: Snapshot, told: Callable[[Beside], None]) -> None:
        loop = asyncio.get_running_loop()
        self.beat = loop.call_later(LOOK_S, self._beat, snapshot, told)
        if self.before:
            found = self.look() if alive(self.before) else None
            try:
                if found is not None:
                    told(beside_of(found))
                elif not alive(self.before):
                    self.before = 0
                    told(Beside({}, {}, 0.0))
            except HandoverError as error:
                logger.warning("the hand-over is ignored: {}", error)
                self.before = 0
                told(Beside({}, {}, 0.0))
        if self.asked is not None and self.asked.exists():
            self._answer(snapshot, loop.time())

    def _answer(self, snapshot: Snapshot, now: float) -> None:
        if now < self.renewed + RENEW_S:
            return
        asked = self._read(self.asked)
        if asked is None or asked["pid"] == self.pid or not alive(asked["pid"]):
            self.after = 0
            return
        if self.after != asked["pid"]:
            self.after = asked["pid"]
            logger.info("process {} was started beside this one and is told what it must know", self.after)
        self.renewed = now
        beside, listed = snapshot()
        data = {"for": self.after, "held": beside.held, "avoided": beside.avoided, "ended": beside.ended}
        if not self._write(self.state, data | {"list": listed}):
            self._write(self.state, data)

    @property
    def superseded(self) -> bool:
        """Whether a new process that was told all it must know serves beside this one."""
        return self.after > 0 and alive(self.after)

    def close(self) -> None:
        if self.beat is not None:
            self.beat.cancel()
