"""Internal failures: every request still gets an answer, and no exception of a task is lost."""

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
FAULTS: dict[str, Callable[[RelayService, LineFront], None]] = {
    "the decision on a request": lambda service, front: fail_in_reducer(service, RequestReceived),
    "the event of an established connection": lambda service, front: fail_in_reducer(service, BackendConnected),
    "opening the connection": lambda service, front: fail_effect(front, OpenBackendConnection),
    "writing the request": lambda service, front: fail_effect(front, ForwardRequest),
    "setting the deadline": lambda service, front: fail_deadlines(service),
}


class InjectedFault(Exception):
    """The exception that the tests inject."""


def fail(*_: Any) -> None:
    raise InjectedFault


def fail_in_reducer(service: RelayService, event: type[Event]) -> None:
    """Make the reducer fail in the middle of its step for this type of event."""
    handle = service.reducer.balancer.handle
    step = service.reducer.step

    def failing_handle(now: float, received: Any) -> Any:
        handle(now, received)
        raise InjectedFault

    def failing_step(now: float, received: Event) -> Any:
        if type(received) is not event:
            return step(now, received)
        if event is BackendConnected:
            raise InjectedFault
        service.reducer.balancer.handle = failing_handle  # type: ignore[method-assign,assignment]
        try:
            return step(now, received)
        finally:
            service.reducer.balancer.handle = handle  # type: ignore[method-assign]

    service.reducer.step = failing_step  # type: ignore[method-assign,assignment]


def fail_effect(front: LineFront, effect: type) -> None:
    front.effect_handlers[effect] = fail


def fail_deadlines(service: RelayService) -> None:
    set_timer = service.runtime.handlers[SetTimer]

    def failing_set_timer(effect: SetTimer) -> None:
        if isinstance(effect.timer, tuple) and effect.timer[0] == "deadline":
            raise InjectedFault
        set_timer(effect)

    service.runtime.handlers[SetTimer] = failing_set_timer


@pytest.mark.parametrize("fault", FAULTS)
def test_a_request_whose_processing_fails_gets_one_answer_within_its_deadline(fault: str) -> None:
    async def body() -> None:
        backends = [Backend() for _ in range(3)]
        for backend in backends:
            await backend.open()
        service = RelayService(read_config(config(backends)), SystemClock())
        service.start()
        front = LineFront(service, 200).start()
        service.serving = True
        FAULTS[fault](service, front)
        reader, writer = await asyncio.open_connection(*service.config.listen)
        writer.write(f"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=charge,t=acme,d={1000 * DEADLINE_S:.0f}\r\n".encode())
        answer = await asyncio.wait_for(reader.read(), DEADLINE_S + 0.5)
        assert answer.split()[0] in (b"ERR", b"BUSY") and answer.count(b"\r\n") == 1
        assert not front.backends and not front.connect_attempts and not service.reducer.requests, (
            "no state of the request remains"
        )
        assert not service.runtime.owners

    uvloop.run(body())


@pytest.fixture(autouse=True)
def plain_log() -> Iterator[None]:
    """Set up the log as the daemon does, and collect garbage after each test.

    A task whose exception was never retrieved reports it when it is collected. If that happens while another test
    parses source code, CPython 3.11 raises SystemError.
    """
    configure_log("INFO")
    yield
    gc.collect()


INVALID_ADDRESS = ("a..b", 3000)  # a host name that cannot be encoded: UnicodeError, not OSError


async def watch_fails() -> None:
    events: list[EndpointsUpdated] = []
    watch = EndpointWatch(ZoneAndKindNames(), events.append, lambda why: None)
    watch.open(0, INVALID_ADDRESS)
    await asyncio.sleep(0.3)
    assert [event.kind for event in events] == [ListKind.FAILED]
    watch.close()


async def health_check_fails() -> None:
    completed: list[HealthCheckCompleted] = []
    checker = HealthChecker(("x0",), 10.0, completed.append, lambda text: None)
    checker.probe(CheckHealth("s-1", INVALID_ADDRESS, 500.0))
    await asyncio.sleep(0.2)
    assert len(completed) == 1 and completed[0].reason in (TerminationReason.NOT_SENT, TerminationReason.CONNECT_FAILED)
    checker.close()


async def attempt_fails() -> None:
    configuration = config([Backend()])
    configuration["known"]["members"][0]["host_port"] = "{}:{}".format(*INVALID_ADDRESS)
    service = RelayService(read_config(configuration), SystemClock())
    service.start()
    front = LineFront(service, 200).start()
    service.serving = True
    reader, writer = await asyncio.open_connection(*service.config.listen)
    writer.write(b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=charge,t=acme,d=900\r\n")
    assert (await asyncio.wait_for(reader.read(), 1.5)).split()[0] == b"BUSY"
    assert not front.connect_attempts and not service.reducer.requests


@pytest.mark.parametrize("operation", (watch_fails, health_check_fails, attempt_fails))
def test_an_invalid_address_fails_its_operation_at_once(
    operation: Callable[[], Coroutine[Any, Any, None]],
) -> None:
    uvloop.run(operation())


def test_a_failing_observer_does_not_keep_the_event_from_the_reducer() -> None:
    async def body() -> None:
        backends = [Backend()]
        await backends[0].open()
        service = RelayService(read_config(config(backends)), SystemClock())
        service.start()
        front = LineFront(service, 200).start()
        service.serving = True
        service.runtime.event_observers.append(fail)
        _, writer = await asyncio.open_connection(*service.config.listen)
        writer.write(b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=charge,t=acme,d=900\r\n")
        for _ in range(100):
            if backends[0].lines:
                break
            await asyncio.sleep(0.01)
        assert len(backends[0].lines) == 1 and service.runtime.counts["failures"] > 0
        writer.close()
        front.listener.sock.close()

    uvloop.run(body())
