"""A step of the program that fails leaves nobody without an answer, and no task that ends unseen."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest
import uvloop

from tests.transport.test_connector import Backend, config
from yarrowspindle.daemon.config import read_config
from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.decisions.events import ListKind
from yarrowspindle.fronts.line_front import LineFront
from yarrowspindle.protocol.endpoint_list import ZoneAndKindNames
from yarrowspindle.routing.effects import CheckHealth, ForwardRequest, OpenBackendConnection, SetTimer
from yarrowspindle.routing.events import (
    BackendConnected,
    EndpointsUpdated,
    Event,
    HealthCheckCompleted,
    RequestReceived,
)
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.runtime import SystemClock
from yarrowspindle.runtime.endpoint_watch import EndpointWatch
from yarrowspindle.runtime.health_checker import HealthChecker
from yarrowspindle.telemetry.log import configure_log

DEADLINE_S = 0.9
WHERE_FAILS: dict[str, Callable[[RelayService, LineFront], None]] = {
    "the decision on a request": lambda hub, front: fail_in_reducer(hub, RequestReceived),
    "the step of a connection that came up": lambda hub, front: fail_in_reducer(hub, BackendConnected),
    "opening the connection": lambda hub, front: fail_effect(front, OpenBackendConnection),
    "writing the request": lambda hub, front: fail_effect(front, ForwardRequest),
    "setting the deadline": lambda hub, front: fail_deadlines(hub),
}


class Planted(Exception):
    """The fault of a test."""


def fail(*_: Any) -> None:
    raise Planted


def fail_in_reducer(hub: RelayService, event: type[Event]) -> None:
    """After the reducer has done half of its step: the module fails."""
    handle = hub.reducer.balancer.handle
    step = hub.reducer.step

    def failing(now: float, told: Any) -> Any:
        handle(now, told)
        raise Planted

    def stepped(now: float, told: Event) -> Any:
        if type(told) is not event:
            return step(now, told)
        if event is BackendConnected:
            raise Planted
        hub.reducer.balancer.handle = failing  # type: ignore[method-assign,assignment]
        try:
            return step(now, told)
        finally:
            hub.reducer.balancer.handle = handle  # type: ignore[method-assign]

    hub.reducer.step = stepped  # type: ignore[method-assign,assignment]


def fail_effect(front: LineFront, effect: type) -> None:
    front.effect_handlers[effect] = fail


def fail_deadlines(hub: RelayService) -> None:
    wake = hub.runtime.handlers[SetTimer]

    def failing(effect: SetTimer) -> None:
        if isinstance(effect.timer, tuple) and effect.timer[0] == "deadline":
            raise Planted
        wake(effect)

    hub.runtime.handlers[SetTimer] = failing


@pytest.mark.parametrize("where", WHERE_FAILS)
def test_a_request_whose_step_fails_gets_its_one_final_answer_within_its_time(where: str) -> None:
    async def body() -> None:
        backends = [Backend() for _ in range(3)]
        for backend in backends:
            await backend.open()
        hub = RelayService(read_config(config(backends)), SystemClock())
        hub.start()
        front = LineFront(hub, 200).start()
        hub.serving = True
        WHERE_FAILS[where](hub, front)
        reader, writer = await asyncio.open_connection(*hub.config.listen)
        writer.write(f"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=charge,t=acme,d={1000 * DEADLINE_S:.0f}\r\n".encode())
        answer = await asyncio.wait_for(reader.read(), DEADLINE_S + 0.5)
        assert answer.split()[0] in (b"ERR", b"BUSY") and answer.count(b"\r\n") == 1
        assert not front.backends and not front.connect_attempts and not hub.reducer.requests, "nothing is kept of it"
        assert not hub.runtime.owners

    uvloop.run(body())


@pytest.fixture(autouse=True)
def plain_log() -> Iterator[None]:
    """As the daemon sets it up. What a fault leaves behind is collected at once: a task whose exception nobody saw is
    told of when it is collected, and that must not fall into another's parsing of source (CPython 3.11 raises
    SystemError there)."""
    configure_log("INFO")
    yield
    gc.collect()


NOWHERE = ("a..b", 3000)  # a host that no encoding of names knows: UnicodeError, which is no OSError


async def watch_ends() -> None:
    told: list[EndpointsUpdated] = []
    watch = EndpointWatch(ZoneAndKindNames(), told.append, lambda why: None)
    watch.open(0, NOWHERE)
    await asyncio.sleep(0.3)
    assert [list_told.kind for list_told in told] == [ListKind.FAILED]
    watch.close()


async def probe_ends() -> None:
    over: list[HealthCheckCompleted] = []
    prober = HealthChecker(("x0",), 10.0, over.append, lambda text: None)
    prober.probe(CheckHealth("s-1", NOWHERE, 500.0))
    await asyncio.sleep(0.2)
    assert len(over) == 1 and over[0].reason in (TerminationReason.NOT_SENT, TerminationReason.CONNECT_FAILED)
    prober.close()


async def attempt_ends() -> None:
    told = config([Backend()])
    told["known"]["members"][0]["host_port"] = "{}:{}".format(*NOWHERE)
    hub = RelayService(read_config(told), SystemClock())
    hub.start()
    front = LineFront(hub, 200).start()
    hub.serving = True
    reader, writer = await asyncio.open_connection(*hub.config.listen)
    writer.write(b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=charge,t=acme,d=900\r\n")
    assert (await asyncio.wait_for(reader.read(), 1.5)).split()[0] == b"BUSY"
    assert not front.connect_attempts and not hub.reducer.requests


@pytest.mark.parametrize("ends", (watch_ends, probe_ends, attempt_ends))
def test_an_address_that_makes_no_sense_ends_what_uses_it_at_once(
    ends: Callable[[], Coroutine[Any, Any, None]],
) -> None:
    uvloop.run(ends())


def test_whoever_looks_on_and_fails_does_not_keep_the_event_from_the_reducer() -> None:
    async def body() -> None:
        backends = [Backend()]
        await backends[0].open()
        hub = RelayService(read_config(config(backends)), SystemClock())
        hub.start()
        front = LineFront(hub, 200).start()
        hub.serving = True
        hub.runtime.event_observers.append(fail)
        _, writer = await asyncio.open_connection(*hub.config.listen)
        writer.write(b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=charge,t=acme,d=900\r\n")
        for _ in range(100):
            if backends[0].lines:
                break
            await asyncio.sleep(0.01)
        assert len(backends[0].lines) == 1 and hub.runtime.counts["failures"] > 0
        writer.close()
        front.listener.sock.close()

    uvloop.run(body())
