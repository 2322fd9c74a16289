"""A stand-in for status nodes: one process that serves one or more of them on loopback addresses.

It follows the protocol page: `UP RECEIPT` for a first line, one line back for each line of the client, `PONG` for
probes. Each event goes to a log file, one JSON object a line, and is flushed at once, so that it outlives a SIGKILL.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import re
import time
from pathlib import Path
from typing import Any

OPEN = re.compile(r"OPEN ([0-9a-f]{16}) ([0-9a-f]{16}) (\S+)")


class Node:
    """One status node.

    Args:
        name: its id in the list.
        arguments: the command line.
        log: receives the events.
    """

    def __init__(self, name: str, arguments: argparse.Namespace, log: Any) -> None:
        self.name, self.arguments, self.log = name, arguments, log
        self.open = 0

    def write(self, event: str, **fields: Any) -> None:
        """Add an event to the log."""
        self.log.write(json.dumps({"t": time.time(), "event": event, "node": self.name, **fields}) + "\n")
        self.log.flush()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, from its first line to its end."""
        try:
            await self._first_line(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _first_line(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := (await reader.readline()).decode("ascii", "replace").rstrip("\r\n"):
            if line in ("PING", "STATS"):
                writer.write(self._probe(line))
                continue
            match = OPEN.fullmatch(line)
            if match is None:
                self.write("syntax", line=line)
                writer.write(b"SYNTAX\r\n")
                return
            await self._connection(match, reader, writer)
            return

    def _probe(self, line: str) -> bytes:
        if not self.arguments.reports:
            return b"PONG\r\n" if line == "PING" else b"NO\r\n"
        report = f" rif={self.open},x0={0.01 * self.open:.2f}" if line == "STATS" else ""
        return f"PONG{report}\r\n".encode()

    async def _connection(
        self, match: re.Match[str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = match[1]
        self.write("run", id=number, key=match[2], parameters=match[3])
        self.open += 1
        try:
            await asyncio.sleep(self.arguments.setup_ms / 1000.0)
            self.write("up", id=number)
            writer.write(f"UP {number[:8]}\r\n".encode())
            while line := await reader.readline():
                await self._answer(number, line.decode("ascii", "replace").rstrip("\r\n"), writer)
        finally:
            self.open -= 1
            self.write("end", id=number)

    async def _answer(self, number: str, line: str, writer: asyncio.StreamWriter) -> None:
        """Send one line back, in one piece or in two."""
        answer = f"FREE {line} bays=12 queue=0"
        self.write("answer", id=number, line=answer)
        data = answer.encode() + b"\r\n"
        if self.arguments.piece_ms:
            head = data.index(b"bays=12") + 6
            writer.write(data[:head])
            self.write("half", id=number)
            await asyncio.sleep(self.arguments.piece_ms / 1000.0)
            data = data[head:]
        writer.write(data)
        await writer.drain()


async def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--log", required=True)
    parser.add_argument("--setup-ms", type=float, default=20.0)
    parser.add_argument("--piece-ms", type=float, default=0.0, help="pause between the two pieces of a line; 0: whole")
    parser.add_argument("--reports", action="store_true", help="answer STATS with a load report")
    parser.add_argument("nodes", nargs="+", help="NAME=HOST:PORT")
    arguments = parser.parse_args()
    with Path(arguments.log).open("a", encoding="ascii") as log:
        for entry in arguments.nodes:
            name, _, address = entry.partition("=")
            host, _, port = address.rpartition(":")
            await asyncio.start_server(Node(name, arguments, log).serve, host, int(port), backlog=256)
        print("ready", flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
