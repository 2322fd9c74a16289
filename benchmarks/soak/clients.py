"""Clients, and the front that distributes their connections over the serving relays."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from math import inf
from random import Random

from benchmarks.soak.connection import Connection
from benchmarks.soak.oracle import Request
from benchmarks.soak.relays import Relay
from benchmarks.soak.run_context import RunContext

FRONT_DELAY_S = 0.3  # the front still sends connections to a relay for this time after SIGTERM
CLASS_WEIGHTS = (3, 1, 1)  # most requests are of the class that may run only once
LEAVE_SHARE, MALFORMED_SHARE = 0.06, 0.03  # of the clients, while no fault raises it
# Fractions of the connections that are idle before their request: of all, and of those to a relay that shuts down.
IDLE_SHARE, IDLE_SHARE_AT_SHUTDOWN = 0.1, 0.5
IDLE_POLL_S, SHUTDOWN_POLL_S = 0.05, 0.01
MAX_IDLE_S = 2.3  # longer than a relay keeps an idle connection open
FINAL_ANSWERS_SPREAD_S = 0.15  # either way of the time of a relay's final answers after SIGTERM
NARROW_SPREAD_FACTOR = 20.0  # for half of these clients the spread is smaller by this factor
GIVE_UP_AFTER_S = 6.0  # after its deadline, a client without an answer disconnects
CONNECT_TIMEOUT_S = 3.0
LINE_INTERVAL_S = 0.15  # between two lines of a client on an established connection
SECOND_ANSWER_WAIT_S = 0.3  # how long a client waits for an illegal second answer
IDLE_AFTER_S = 0.02  # a connection without data counts as idle from this age on, also if this process is late
MALFORMED_INPUTS = (
    b"\x00" * 200,
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"OPEN x y z\r\n",
    b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=none,t=acme,d=500\r\n",
    b"y" * 300_000,
    b"OPEN 9b1f03aa5c7e2d41 7f3a",
    b"PING\r\n" * 3,
    b"",
)


class Exchange:
    """One request on its connection, and the answers to it.

    Attributes:
        early_lines: the number of lines that arrived before the request was sent.
    """

    def __init__(self, now: Callable[[], float], request: Request) -> None:
        self.now, self.request = now, request
        self.connection = Connection(now, self._on_line)
        self.early_lines = 0

    def send(self, last_part: bytes) -> None:
        """Send the last part of the request's line, and record whether the relay had already closed an idle connection.

        On loopback the line is in the relay's socket buffer when the call returns. If the relay's close has not arrived
        by then, the relay could have read the line before it closed, even if the close is noticed late. The kernel's
        timestamps show how long the connection was idle until the line, or until an earlier close.
        """
        request, connection = self.request, self.connection
        peer_closed_at = connection.peer_closed_at()
        request.sent_at = connection.send(last_part)
        idle_until = min(request.sent_at, peer_closed_at)
        request.was_idle = request.was_idle or idle_until > connection.connected_at + IDLE_AFTER_S
        request.raced_close = request.was_idle and (peer_closed_at < inf or connection.peer_has_closed(race=True))

    def _on_line(self, line: bytes, at: float) -> None:
        request = self.request
        if not line:
            request.ended_at = min(request.ended_at, at)
        elif request.sent_at == inf:
            self.early_lines += 1
        else:
            self._on_answer(line.split()[0].decode("ascii", "replace") if line.split() else "", at)

    def _on_answer(self, word: str, at: float) -> None:
        request = self.request
        if word in ("MOVE", "BYE"):
            request.moved = True
            request.ended_at = min(request.ended_at, at)
        elif not request.answers or (word in ("BUSY", "ERR") and request.answers[0][1] != "UP"):
            request.answers.append((at, word if word in ("UP", "BUSY") else "ERR"))


class Clients:
    """All clients of a run.

    Attributes:
        leave_share: the fraction of the clients that disconnect early.
        malformed_share: the fraction that sends malformed input.
        split_share: the fraction, added to a fixed one, that sends its line in two parts.
        requests_opened: the number of requests whose connection was established.
    """

    def __init__(self, context: RunContext, relays: list[Relay]) -> None:
        self.context, self.relays = context, relays
        self.random = Random(f"clients {context.plan.seed}")
        self.leave_share, self.malformed_share, self.split_share = LEAVE_SHARE, MALFORMED_SHARE, 0.0
        self.idle_random = Random(f"resting {context.plan.seed}")
        self.next_id = self.random.getrandbits(62)
        self.requests_opened = 0
        self.stopped = False

    async def run(self) -> None:
        """Send requests to random serving relays, as a Poisson process of constant rate."""
        rate = self.context.plan.requests_per_relay_s * len(self.relays)
        while not self.stopped:
            await asyncio.sleep(self.random.expovariate(rate))
            serving = [relay for relay in self.relays if relay.accepts_connections(self.context.now(), FRONT_DELAY_S)]
            if not serving:
                continue
            relay = self.random.choice(serving)
            if self.random.random() < self.malformed_share:
                self.context.start_task(self._send_malformed(relay))
            else:
                self.context.start_task(self._send_request(relay))

    def _new_request(self, relay: Relay) -> tuple[Request, bytes]:
        """Return a random request for this relay, and its line."""
        settings = self.context.plan.settings
        request_class = self.random.choices(settings["categories"], CLASS_WEIGHTS)[0]
        self.next_id += 1
        name = f"{self.next_id & (1 << 64) - 1:016x}"
        deadline_ms = request_class["deadline_ms"] * self.random.choice((1.0, 1.0, 1.0, 0.5))
        request = Request(
            name,
            relay.instance,
            request_class["name"],
            request_class["effect"],
            request_class["group"],
            request_class["window_ms"] / 1000.0,
            deadline_ms / 1000.0,
        )
        tenant = self.random.choice(("acme", "zeta"))
        line = (
            f"OPEN {name} {self.random.getrandbits(64):016x} c={request_class['name']},t={tenant},d={deadline_ms:.0f}"
        )
        if settings["family_info"]["groups"]:
            line += f",g={self.random.randrange(1, 40):x}"
        return request, f"{line}\r\n".encode()

    async def _send_request(self, relay: Relay) -> None:
        """Connect, stay idle if so drawn, send one request, and wait for its answer."""
        request, line = self._new_request(relay)
        exchange = Exchange(self.context.now, request)
        connection = exchange.connection
        if not await connection.open(relay.address, CONNECT_TIMEOUT_S):
            return
        request.relay, request.client = relay.instance_at(connection.connected_at), connection.address()
        self.requests_opened += 1
        self.context.oracle.requests[request.name] = request
        relay.open_requests[request] = connection
        try:
            if self.idle_random.random() < (IDLE_SHARE_AT_SHUTDOWN if relay.shutting_down else IDLE_SHARE):
                request.was_idle = True
                if not await self._stay_idle(relay, exchange):
                    return
            await self._send_first_line(exchange, line)
            await self._await_answer(exchange)
        except ConnectionError:
            request.ended_at = min(request.ended_at, self.context.now())
        finally:
            del relay.open_requests[request]
            connection.close()

    async def _stay_idle(self, relay: Relay, exchange: Exchange) -> bool:
        """Leave the connection idle, and return False if the relay has closed it in the meantime.

        Half of the clients, and all that connect to a relay that shuts down, wait for the time of its final answers if
        the relay shuts down.
        """
        instance, connection = relay.instance, exchange.connection
        if self.idle_random.random() < 0.5:
            connection.send(b"PING\r\n")
            while not exchange.early_lines and not connection.peer_closed:
                await connection.wait(IDLE_POLL_S)
        sends_at = self.context.now() + self.idle_random.uniform(0.0, MAX_IDLE_S)
        until_shutdown = self.idle_random.random() < 0.5 or relay.shutting_down
        while not connection.peer_closed and (left_s := sends_at - self.context.now()) > 0.0:
            if until_shutdown and relay.shutting_down and relay.instance == instance:
                await self._stay_idle_until_shutdown(relay, connection)
                break
            await connection.wait(min(left_s, IDLE_POLL_S))
        return not connection.peer_closed

    async def _stay_idle_until_shutdown(self, relay: Relay, connection: Connection) -> None:
        """Stay idle until about the time of the relay's final answers, or until an earlier suspension of it."""
        offset_s = self.idle_random.uniform(-FINAL_ANSWERS_SPREAD_S, FINAL_ANSWERS_SPREAD_S) / self.idle_random.choice(
            (1.0, NARROW_SPREAD_FACTOR)
        )
        sends_when_suspended = self.idle_random.random() < 0.5
        sends_at = relay.sigterm_at + relay.final_answers_s + offset_s
        while not connection.peer_closed and (left_s := sends_at - self.context.now()) > 0.0:
            if sends_when_suspended and relay.suspended_at is not None:
                return  # the line is in its socket buffer when it is resumed
            await connection.wait(min(left_s, SHUTDOWN_POLL_S))

    async def _send_first_line(self, exchange: Exchange, line: bytes) -> None:
        """Send the request's line, in two parts for some clients."""
        if self.random.random() >= 0.08 + self.split_share:
            exchange.send(line)
            return
        exchange.request.was_idle = True
        at = self.random.randrange(1, len(line))
        exchange.connection.send(line[:at])
        await asyncio.sleep(self.random.uniform(0.001, 0.06))
        exchange.send(line[at:])

    async def _await_answer(self, exchange: Exchange) -> None:
        """Wait for the answer and use an established connection, until the relay closes it or the client leaves."""
        request, connection = exchange.request, exchange.connection
        leaves_after_s = self.random.uniform(0.0, 0.3) if self.random.random() < self.leave_share else None
        until = request.sent_at + (
            leaves_after_s if leaves_after_s is not None else request.deadline_s + GIVE_UP_AFTER_S
        )
        last_line_at = request.sent_at
        while not connection.peer_closed and not request.moved:
            await connection.wait(min(until - self.context.now(), LINE_INTERVAL_S))
            connection.read()  # data that has arrived by now, also if this process is late
            now = self.context.now()
            if request.answers and request.answers[0][1] != "UP":
                until = min(until, request.answers[-1][0] + SECOND_ANSWER_WAIT_S)
            if connection.peer_closed or request.moved:
                return
            if now >= until:
                self._leave(exchange, leaves_after_s is not None)
                return
            if request.answers and now > last_line_at + LINE_INTERVAL_S:
                last_line_at = now
                with suppress(BlockingIOError):
                    connection.send(b"a line\r\n")

    def _leave(self, exchange: Exchange, early: bool) -> None:
        """Close the connection; early: by a close, a reset or a half-close."""
        how = self.random.randrange(3) if early else 0
        if how == 2:
            exchange.connection.half_close()
        else:
            exchange.connection.close(reset=how == 1)
        exchange.request.left_at = self.context.now()

    async def _send_malformed(self, relay: Relay) -> None:
        """Connect, send malformed input, and wait some time for an answer."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*relay.address), CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            return
        with suppress(ConnectionError, TimeoutError):
            writer.write(self.random.choice(MALFORMED_INPUTS))
            await asyncio.wait_for(reader.read(1000), self.random.uniform(0.2, 4.0))
        writer.close()
