"""The operators' API of a controller: its status, a change of the settings, and the result of a change."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
from loguru import logger

from yarrowspindle.configuration.effects import ChangeAnswered
from yarrowspindle.configuration.events import ChangeRequested
from yarrowspindle.configuration.state import ControlError, Entries, Step
from yarrowspindle.operator_api import OperatorApi
from yarrowspindle.operator_api.http import Response
from yarrowspindle.routing.address import Address

MAX_ANSWERS = 1024
MAX_BODY_BYTES = 512 * 1024
MAX_NAMED_KEYS_CHARACTERS = 200
HTTP_OK, HTTP_CONFLICT = 200, 409


@dataclass(slots=True, frozen=True)
class ControllerApiSources:
    """The functions of a controller that the API calls."""

    status: Callable[[], Mapping[str, Any]]
    entries: Callable[[], Entries]
    request: Callable[[ChangeRequested], None]


class ControllerApi:
    """The HTTP server of the API on a loopback address.

    An HTTP response cannot wait for consensus, so a change returns a ticket, with which the operator's command polls
    the result.
    """

    def __init__(self, sources: ControllerApiSources, first_ticket: int) -> None:
        self.sources = sources
        self.last_ticket = first_ticket
        self.answers: OrderedDict[int, ChangeAnswered | None] = OrderedDict()  # None: the result is pending
        self.server: OperatorApi | None = None

    async def start(self, address: Address) -> None:
        """Start to listen; if that fails, the controller works without the API."""
        routes = {
            "/control/change": {"PUT": self._handler(self._change)},
            "/control/answer": {"PUT": self._handler(self._poll_answer)},
        }
        self.server = OperatorApi(
            {"/control": {"GET": self._status}},
            lambda text: logger.error("control: an operators' call failed: {}", text),
            routes,
            MAX_BODY_BYTES,
        )
        try:
            await self.server.start(*address)
            logger.info("control: commands are accepted at {}:{}", *address)
        except OSError as error:
            logger.error("control: no commands can be accepted at {}:{}: {}", *address, error)

    def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    def on_answer(self, answer: ChangeAnswered) -> None:
        """Store the result of a change until the operator's command polls it."""
        self.answers[answer.ticket] = answer

    def _status(self) -> Response:
        return HTTP_OK, self._json(self.sources.status())

    @staticmethod
    def _json(value: object) -> str:
        return msgspec.json.encode(value).decode() + "\n"

    def _handler(self, action: Callable[[dict[str, Any]], object]) -> Callable[[bytes], Response]:
        def respond(body: bytes) -> Response:
            try:
                parameters = msgspec.json.decode(body or b"{}", type=dict[str, Any])
                return HTTP_OK, self._json(action(parameters))
            except (ControlError, msgspec.DecodeError, msgspec.ValidationError) as error:
                return HTTP_CONFLICT, self._json({"error": str(error)})

        return respond

    def _change(self, parameters: dict[str, Any]) -> object:
        step = msgspec.convert(parameters.get("step"), dict[str, str | None])
        self._check_step(step)
        self.last_ticket += 1
        self.answers[self.last_ticket] = None
        while len(self.answers) > MAX_ANSWERS:
            self.answers.popitem(last=False)
        self.sources.request(ChangeRequested(self.last_ticket, step))
        return {"ticket": self.last_ticket}

    def _check_step(self, step: Step) -> None:
        entries = self.sources.entries()
        absent = sorted(key for key, value in step.items() if value is None and key not in entries)
        if not step:
            raise ControlError("the change is empty; expected at least one key")
        if absent:
            raise ControlError(f"there is no entry {', '.join(absent)[:MAX_NAMED_KEYS_CHARACTERS]}")

    def _poll_answer(self, parameters: dict[str, Any]) -> object:
        ticket = msgspec.convert(parameters.get("ticket"), int)
        if ticket not in self.answers:
            raise ControlError(
                "unknown ticket: this controller has restarted since the change; see `control show` for the result"
            )
        answer = self.answers[ticket]
        if answer is None:
            return {"settled": False}
        return {"settled": True, "version": answer.version, "error": answer.reason}
