"""Asks the other process of an upgrade whether it has the id of a request, before the request is placed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from yarrowspindle.routing.events import RequestReceived
from yarrowspindle.transport.process_link import Kind

if TYPE_CHECKING:
    from yarrowspindle.daemon.relay_service import RelayService

ID_CHARACTERS = 16
IDS_PER_MESSAGE = 4096
MS_PER_S = 1000.0


class RequestIdCheck:
    """The requests that wait for the answer of the other processes; without another process no request waits.

    Args:
        service: the relay.
    """

    def __init__(self, service: RelayService) -> None:
        self.service = service
        self.link = service.process_link
        self.loop = asyncio.get_running_loop()
        self.waiting: dict[int, RequestReceived] = {}
        self.link.handlers[Kind.REQUEST_ID] = self._is_known
        self.link.handlers[Kind.ENDED_REQUEST_IDS] = self._take_over_ids

    def post(self, received: RequestReceived) -> None:
        """Post the request once no other process is known to have its id; else post it as one whose id is in use."""
        if not self.link.connections:
            self.service.post(received)
            return
        self.waiting[received.request] = received
        asked_at = self.loop.time()
        question = (received.client_request_id + self.link.name).encode()
        self.link.ask(Kind.REQUEST_ID, question, lambda known: self._on_answer(received, asked_at, known))

    def withdraw(self, request: int) -> bool:
        """Forget a request whose client has left or sent more data; return False if it does not wait."""
        return self.waiting.pop(request, None) is not None

    def post_all(self) -> None:
        """Post all requests that wait, without the answer."""
        for received in list(self.waiting.values()):
            self.waiting.pop(received.request, None)
            self.service.post(received)

    def hand_over_ids(self) -> None:
        """Tell the other processes the ids of ended requests that may still run, as this process is about to end."""
        ids = self.service.reducer.remembered_request_ids()
        for first in range(0, len(ids), IDS_PER_MESSAGE):
            body = "".join(ids[first : first + IDS_PER_MESSAGE]).encode()
            self.link.ask(Kind.ENDED_REQUEST_IDS, body, lambda taken: None)

    def _on_answer(self, received: RequestReceived, asked_at: float, known: bool) -> None:
        if not self.withdraw(received.request):
            return
        received.remaining_ms -= MS_PER_S * (self.loop.time() - asked_at)
        if known:
            self.service.reducer.remember_request_id(received.client_request_id)
        self.service.post(received)

    def _is_known(self, body: bytes) -> bool:
        """Answer another process. Of two processes that ask about one id at once, one says yes."""
        text = body.decode("ascii", "replace")
        request_id, name = text[:ID_CHARACTERS], text[ID_CHARACTERS:]
        if self.service.reducer.knows_request_id(request_id):
            return True
        waits_here = any(received.client_request_id == request_id for received in self.waiting.values())
        return waits_here and self.link.name < name

    def _take_over_ids(self, body: bytes) -> bool:
        text = body.decode("ascii", "replace")
        for first in range(0, len(text) - ID_CHARACTERS + 1, ID_CHARACTERS):
            self.service.reducer.remember_request_id(text[first : first + ID_CHARACTERS])
        return True
