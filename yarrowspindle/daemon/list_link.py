"""Passes changes of the endpoint list to the other processes of the relay, and takes up theirs, while they run.

Both sides first announce which version they hold. The one with the newer version sends its whole list; from then on
each sends its changes. What a process cannot receive yet waits here as the set of entries that it lacks, so that
nothing grows while it hangs.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from loguru import logger

from yarrowspindle.daemon.list_sharing import ListSharing
from yarrowspindle.protocol.endpoint_list import MAX_LIST_BYTES, ListError, ZoneAndKindNames
from yarrowspindle.protocol.shared_list import (
    EntryEncoder,
    ListPart,
    ListVersion,
    PartKind,
    StoredList,
    decode_part,
    encode_part,
    parts_of,
)
from yarrowspindle.routing.events import Endpoint
from yarrowspindle.transport.process_link import Kind, LinkConnection, ProcessLink

SEND_RETRY_S = 0.02  # while the other process does not read


@dataclass(eq=False, slots=True)
class OtherProcess:
    """What is known of another process, and what it has to be sent.

    Attributes:
        side: the connection to it.
        version: the newest version that it is known to hold; None before its announcement.
        changed: the entries that it lacks, by name.
        needs_complete_list: whether it is sent the whole list in place of `changed`.
        sending: the task that sends; None at rest.
        unread: messages that were received and not parsed yet.
        received: the entries of an update whose last part has not been parsed.
        received_bytes: the size of its parts.
    """

    side: LinkConnection
    version: ListVersion | None = None
    changed: dict[str, Endpoint] = field(default_factory=dict)
    needs_complete_list: bool = False
    sending: asyncio.Task[None] | None = None
    unread: deque[bytes] = field(default_factory=deque)
    received: list[Endpoint] = field(default_factory=list)
    received_bytes: int = 0


class ListLink:
    """Exchanges the endpoint list over the link between the processes of a relay.

    Args:
        sharing: the list of this process.
        link: the link.
        relay: the name of the relay.
        names: names of zones and kinds, from the settings.
    """

    def __init__(self, sharing: ListSharing, link: ProcessLink, relay: str, names: ZoneAndKindNames) -> None:
        self._sharing, self._relay, self._names = sharing, relay, names
        self._encoder = EntryEncoder(names)
        self._processes: dict[LinkConnection, OtherProcess] = {}
        link.list_receiver = self
        sharing.listeners.append(self._on_change)

    # --- calls of the link ------------------------------------------------------------------------

    def on_connected(self, side: LinkConnection) -> None:
        """Announce this process's version to another one that exchanges lists."""
        if side not in self._processes:
            self._processes[side] = OtherProcess(side)
            side.send(Kind.ENDPOINT_LIST, 0, encode_part(self._part(PartKind.ANNOUNCEMENT), []))

    def on_message(self, side: LinkConnection, body: bytes) -> None:
        """Handle a part of an update: one in each turn of the event loop, which a long list would hold otherwise."""
        self.on_connected(side)
        process = self._processes[side]
        process.unread.append(body)
        if len(process.unread) == 1:
            asyncio.get_running_loop().call_soon(self._parse_next, process)

    def _parse_next(self, process: OtherProcess) -> None:
        """Parse the oldest unread message; end the connection if it is invalid."""
        if process.side not in self._processes:
            return
        try:
            self._parse(process, process.unread[0])
        except ListError as error:
            logger.warning("another process of this relay sent an invalid endpoint list: {}", error)
            process.side.abort()
            return
        process.unread.popleft()
        if process.unread:
            asyncio.get_running_loop().call_soon(self._parse_next, process)

    def _parse(self, process: OtherProcess, body: bytes) -> None:
        part = decode_part(body, self._names)
        self._check(process, part, len(body))
        if part.kind is PartKind.ANNOUNCEMENT:
            self._on_announcement(process, part)
        else:
            self._on_update(process, part)

    def on_lost(self, side: LinkConnection) -> None:
        """Forget a process that has ended."""
        process = self._processes.pop(side, None)
        if process is not None and process.sending is not None:
            process.sending.cancel()

    # --- received ---------------------------------------------------------------------------------

    def _check(self, process: OtherProcess, part: ListPart, size: int) -> None:
        """Raise ListError if the part is of another relay, or makes the update too long."""
        if part.relay != self._relay:
            raise ListError(f"it is from the relay {part.relay!r}")
        process.received_bytes += size
        if process.received_bytes > MAX_LIST_BYTES:
            raise ListError(f"it is longer than {MAX_LIST_BYTES} bytes")

    def _on_announcement(self, process: OtherProcess, part: ListPart) -> None:
        process.received_bytes = 0
        process.version = part.version if part.notified_at_ms else ListVersion(-1)
        if self._sharing.notified_at_ms and self._sharing.version > process.version:
            process.needs_complete_list = True
            self._start_sending(process)

    def _on_update(self, process: OtherProcess, part: ListPart) -> None:
        process.received.extend(part.endpoints)
        if not part.last:
            return
        endpoints, process.received, process.received_bytes = process.received, [], 0
        if process.version is None or part.version > process.version:
            process.version = part.version
        update = StoredList(part.version, part.notified_at_ms, endpoints)
        self._sharing.take_up(update, part.kind is PartKind.COMPLETE, "another process of this relay")

    # --- sent -------------------------------------------------------------------------------------

    def _on_change(self, changed: list[Endpoint] | None) -> None:
        """Send a change to each process that does not hold it already."""
        for process in self._processes.values():
            if process.version is None or self._sharing.version <= process.version:
                continue  # it is compared with the announcement of that process, or came from there
            if changed is None:
                process.needs_complete_list = True
            else:
                process.changed.update((endpoint.name, endpoint) for endpoint in changed)
            self._start_sending(process)

    def _start_sending(self, process: OtherProcess) -> None:
        if process.sending is None:
            process.sending = asyncio.get_running_loop().create_task(self._send(process))

    async def _send(self, process: OtherProcess) -> None:
        """Send until the process holds this one's version, a part in each turn of the event loop."""
        try:
            while process.version is not None and self._sharing.version > process.version:
                version = self._sharing.version
                if not await self._send_update(process):
                    return
                process.version = max(process.version, version)
        finally:
            process.sending = None
        process.needs_complete_list, process.changed = False, {}  # it has received newer ones

    async def _send_update(self, process: OtherProcess) -> bool:
        """Send all that the process lacks now; return False if the connection has ended."""
        if process.needs_complete_list:
            kind, endpoints = PartKind.COMPLETE, self._sharing.endpoints()
        else:
            kind, endpoints = PartKind.CHANGES, list(process.changed.values())
        process.needs_complete_list, process.changed = False, {}
        header = self._part(kind)
        for entries, header.last in parts_of(map(self._encoder.encode, endpoints)):
            if not await self._send_part(process.side, encode_part(header, entries)):
                return False
        return True

    @staticmethod
    async def _send_part(side: LinkConnection, message: bytes) -> bool:
        """Send a message once there is room for it; return False if the connection has ended."""
        while not side.send(Kind.ENDPOINT_LIST, 0, message):
            if side.closed:
                return False
            await asyncio.sleep(SEND_RETRY_S)
        await asyncio.sleep(0)
        return True

    def _part(self, kind: PartKind) -> ListPart:
        return ListPart(self._relay, self._sharing.version, self._sharing.notified_at_ms, kind, True, [])
