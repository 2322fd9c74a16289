"""Clients, and the front that deals their connections out among the relays that serve."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from math import inf
from random import Random

from benchmarks.soak.connection import Connection
from benchmarks.soak.oracle import Request
from benchmarks.soak.relays import Relay
from benchmarks.soak.world import World

FOLLOW_S = 0.3  # for so long after SIGTERM connections go on coming
CLASS_WEIGHTS = (3, 1, 1)  # most requests are of the class that may run once
LEAVING, RUDE = 0.06, 0.03  # at all times
RESTING, RESTING_AT_END = 0.1, 0.5  # of the connections rest before they ask; of those that come to a relay that ends
LOOK_S, LOOK_AT_END_S = 0.05, 0.01
MAX_REST_S = 2.3  # beyond the time that a relay leaves them
LAST_MOMENT_S = 0.15  # around the moment in which a relay that was told to end answers those who wait
LAST_INSTANT = 20.0  # half of these come that many times closer to it
PATIENCE_S = 6.0  # over its time, until a client that was not answered gives up
CONNECT_S = 3.0
SPEAK_S = 0.15  # between two lines of a client whose connection stands
SECOND_ANSWER_S = 0.3  # for so long after its answer a client would hear another
PROMPT_S = 0.02  # a connection that has stood for longer without a line has rested, however late we are ourselves
NONSENSE = (
    b"\x00" * 200,
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"OPEN x y z\r\n",
    b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=none,t=acme,d=500\r\n",
    b"y" * 300_000,
    b"OPEN 9b1f03aa5c7e2d41 7f3a",
    b"PING\r\n" * 3,
    b"",
)


class Conversation:
    """One request on its connection: what its client has asked and heard."""

    def __init__(self, now: Callable[[], float], request: Request) -> None:
        self.now, self.request = now, request
        self.connection = Connection(now, self._on_line)
        self.greetings = 0  # lines that came before the request was sent

    def ask(self, last: bytes) -> None:
        """Sends the last part of the first line, and looks at once whether the relay had ended a rested connection.

        On loopback the line is in the relay's socket when the call returns. So an end that is not there by then comes
        from a relay that could have read the line, whatever time passes until it is seen. How long the connection had
        rested, until the line or until the end before it, the kernel tells.
        """
        request, connection = self.request, self.connection
        ended_at = connection.ended_at()
        request.sent = connection.send(last)
        rested_until = min(request.sent, ended_at)
        request.rested = request.rested or rested_until > connection.connected_at + PROMPT_S
        request.crossed = request.rested and (ended_at < inf or connection.end_is_there(instant=True))

    def _on_line(self, line: bytes, at: float) -> None:
        request = self.request
        if not line:
            request.ended = min(request.ended, at)
        elif request.sent == inf:
            self.greetings += 1
        else:
            self._on_answer(line.split()[0].decode("ascii", "replace") if line.split() else "", at)

    def _on_answer(self, word: str, at: float) -> None:
        request = self.request
        if word in ("MOVE", "BYE"):
            request.moved = True
            request.ended = min(request.ended, at)
        elif not request.answers or (word in ("BUSY", "ERR") and request.answers[0][1] != "UP"):
            request.answers.append((at, word if word in ("UP", "BUSY") else "ERR"))


class Clients:
    """leaving: the share of clients that leave early; rude: of those that make no sense."""

    def __init__(self, world: World, relays: list[Relay]) -> None:
        self.world, self.relays = world, relays
        self.random = Random(f"clients {world.plan.seed}")
        self.leaving, self.rude, self.piecewise = LEAVING, RUDE, 0.0
        self.resting = Random(f"resting {world.plan.seed}")
        self.number = self.random.getrandbits(62)
        self.asked = 0
        self.stopped = False

    async def run(self) -> None:
        """Asks at a steady mean rate, by chance."""
        rate = self.world.plan.per_relay_s * len(self.relays)
        while not self.stopped:
            await asyncio.sleep(self.random.expovariate(rate))
            serving = [relay for relay in self.relays if relay.takes(self.world.now(), FOLLOW_S)]
            if not serving:
                continue
            relay = self.random.choice(serving)
            if self.random.random() < self.rude:
                self.world.start(self._rude(relay))
            else:
                self.world.start(self._ask(relay))

    def _request(self, relay: Relay) -> tuple[Request, bytes]:
        settings = self.world.plan.settings
        cls = self.random.choices(settings["categories"], CLASS_WEIGHTS)[0]
        self.number += 1
        name = f"{self.number & (1 << 64) - 1:016x}"
        wait_ms = cls["deadline_ms"] * self.random.choice((1.0, 1.0, 1.0, 0.5))
        request = Request(
            name, relay.instance, cls["name"], cls["effect"], cls["group"], cls["window_ms"] / 1000.0, wait_ms / 1000.0
        )
        tenant = self.random.choice(("acme", "zeta"))
        line = f"OPEN {name} {self.random.getrandbits(64):016x} c={cls['name']},t={tenant},d={wait_ms:.0f}"
        if settings["family_info"]["groups"]:
            line += f",g={self.random.randrange(1, 40):x}"
        return request, f"{line}\r\n".encode()

    async def _ask(self, relay: Relay) -> None:
        request, line = self._request(relay)
        conversation = Conversation(self.world.now, request)
        connection = conversation.connection
        if not await connection.open(relay.address, CONNECT_S):
            return
        request.relay, request.client = relay.instance_at(connection.connected_at), connection.address()
        self.asked += 1
        self.world.oracle.requests[request.name] = request
        relay.open[request] = connection
        try:
            if self.resting.random() < (RESTING_AT_END if relay.ending else RESTING):
                request.rested = True
                if not await self._rest(relay, conversation):
                    return
            await self._say(conversation, line)
            await self._hear(conversation)
        except ConnectionError:
            request.ended = min(request.ended, self.world.now())
        finally:
            del relay.open[request]
            connection.close()

    async def _rest(self, relay: Relay, conversation: Conversation) -> bool:
        """The connection rests; half of them, and all that come to a relay that ends, until it ends them.

        Returns False where the relay has ended it meanwhile.
        """
        instance, connection = relay.instance, conversation.connection
        if self.resting.random() < 0.5:
            connection.send(b"PING\r\n")
            while not conversation.greetings and not connection.ended:
                await connection.wait(LOOK_S)
        asks_at = self.world.now() + self.resting.uniform(0.0, MAX_REST_S)
        until_the_end = self.resting.random() < 0.5 or relay.ending
        while not connection.ended and (left_s := asks_at - self.world.now()) > 0.0:
            if until_the_end and relay.ending and relay.instance == instance:
                await self._rest_until_the_end(relay, connection)
                break
            await connection.wait(min(left_s, LOOK_S))
        return not connection.ended

    async def _rest_until_the_end(self, relay: Relay, connection: Connection) -> None:
        """Rests until about the moment in which the relay answers those who wait, or is held before that."""
        moment_s = self.resting.uniform(-LAST_MOMENT_S, LAST_MOMENT_S) / self.resting.choice((1.0, LAST_INSTANT))
        asks_in_a_hold = self.resting.random() < 0.5
        asks_at = relay.told_to_end + relay.answers_last_s + moment_s
        while not connection.ended and (left_s := asks_at - self.world.now()) > 0.0:
            if asks_in_a_hold and relay.stopped_at is not None:
                return  # the line lies in its socket when it goes on
            await connection.wait(min(left_s, LOOK_AT_END_S))

    async def _say(self, conversation: Conversation, line: bytes) -> None:
        if self.random.random() >= 0.08 + self.piecewise:
            conversation.ask(line)
            return
        conversation.request.rested = True
        at = self.random.randrange(1, len(line))
        conversation.connection.send(line[:at])
        await asyncio.sleep(self.random.uniform(0.001, 0.06))
        conversation.ask(line[at:])

    async def _hear(self, conversation: Conversation) -> None:
        request, connection = conversation.request, conversation.connection
        gone = self.random.uniform(0.0, 0.3) if self.random.random() < self.leaving else None
        until = request.sent + (gone if gone is not None else request.deadline_s + PATIENCE_S)
        spoken = request.sent
        while not connection.ended and not request.moved:
            await connection.wait(min(until - self.world.now(), SPEAK_S))
            connection.read()  # what is there by now, however late this process is
            now = self.world.now()
            if request.answers and request.answers[0][1] != "UP":
                until = min(until, request.answers[-1][0] + SECOND_ANSWER_S)
            if connection.ended or request.moved:
                return
            if now >= until:
                self._leave(conversation, gone is not None)
                return
            if request.answers and now > spoken + SPEAK_S:
                spoken = now
                with suppress(BlockingIOError):
                    connection.send(b"a line\r\n")

    def _leave(self, conversation: Conversation, early: bool) -> None:
        how = self.random.randrange(3) if early else 0
        if how == 2:
            conversation.connection.end_sending()
        else:
            conversation.connection.close(reset=how == 1)
        conversation.request.left = self.world.now()

    async def _rude(self, relay: Relay) -> None:
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*relay.address), CONNECT_S)
        except (OSError, TimeoutError):
            return
        with suppress(ConnectionError, TimeoutError):
            writer.write(self.random.choice(NONSENSE))
            await asyncio.wait_for(reader.read(1000), self.random.uniform(0.2, 4.0))
        writer.close()
