"""The library gives each request one final answer, also if the host blocks its loop, cancels tasks or closes early."""

from __future__ import annotations

import asyncio
import io
import os
import threading
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from benchmarks.library import record_sequence, replay_both, run_with_stalls
from examples.plan_status import run_demo
from tests.helpers import settings as balancer_settings
from tests.stand_ins import LineServer
from yarrowspindle.decisions.events import EndpointState, ListKind
from yarrowspindle.decisions.settings import Idempotency, RequestClass
from yarrowspindle.library import (
    BackendDropped,
    CallbackList,
    ConnectionClass,
    Endpoint,
    Failed,
    LibrarySettings,
    Placer,
    PlacerClosed,
    Rejected,
    SettingError,
    StaticList,
    WatchedList,
    WrongContext,
)
from yarrowspindle.library.placer import PlacerState
from yarrowspindle.replay import Recorder, SequenceError, play_library, read_sequence
from yarrowspindle.routing.events import EndpointsUpdated, Event, EventLoopStalled
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.runtime import SystemClock, Timers

ENDPOINTS = [Endpoint(f"s-{i}", ("127.0.0.1", 3000 + i)) for i in (1, 2, 3)]
SETTINGS = LibrarySettings(classes=(ConnectionClass("chat", aim_s=0.1, deadline_s=0.4),), tenants=("acme",))


class JumpingClock:
    """The system clock with jumps, each of which simulates an event loop that was blocked for that time."""

    def __init__(self) -> None:
        self.system, self.jumped_ms = SystemClock(), 0.0

    def now(self) -> float:
        return self.system.now() + self.jumped_ms


def run(
    body: Callable[[Placer], Awaitable[None]],
    endpoints: list[Endpoint] | None = None,
    settings: LibrarySettings = SETTINGS,
    clock: Any = None,
) -> None:
    async def main() -> None:
        all_endpoints = ENDPOINTS if endpoints is None else endpoints
        placer = Placer(settings, StaticList(all_endpoints), seed=3, clock=clock)
        async with placer:
            await body(placer)
        assert not placer.reducer.requests and not placer.placements and not placer.entered
        assert all(backend.connections == 0 for backend in placer.reducer.balancer.backends.values())
        assert not placer.runtime.owners and not placer.runtime.timers.current

    asyncio.run(main())


def test_a_request_is_placed_counted_and_tries_another_backend_when_one_fails() -> None:
    async def body(placer: Placer) -> None:
        async with placer.place(key=7, tenant="acme") as placement:
            first = placement.backend
            await placement.failed()
            assert placement.backend != first and placement.address in [endpoint.address for endpoint in ENDPOINTS]
            placement.up()
            placement.load(20.0)
            assert placer.counters()["up"] == 1
        with pytest.raises(Rejected) as rejection:
            async with placer.place() as placement:
                for _ in range(3):
                    await placement.failed(TerminationReason.REJECTED)
        assert 1.0 <= rejection.value.retry_after <= 2.0
        async with placer.place():
            pass  # the host does not report that the backend accepted

    run(body)


@pytest.mark.parametrize("idempotency", list(Idempotency))
@pytest.mark.parametrize("reached", [True, False])
def test_a_request_that_may_have_run_is_tried_again_only_if_it_is_idempotent(
    reached: bool, idempotency: Idempotency
) -> None:
    """Guard against a request that runs twice since its host reports a failure after `reached` without an ending."""

    async def body() -> None:
        classes = (RequestClass(100.0, 400.0, idempotency),)
        placer = Placer(balancer_settings(classes=classes), StaticList(ENDPOINTS), seed=3)
        async with placer, placer.place() as placement:
            first = placement.backend
            if reached:
                placement.reached()
            if reached and idempotency is not Idempotency.IDEMPOTENT:
                with pytest.raises(Failed):
                    await placement.failed()
                return
            await placement.failed()
            assert placement.backend != first
            placement.reached()
            placement.up()

    asyncio.run(body())


@pytest.mark.parametrize("stalled_ms", [300.0, 2000.0, 10_000.0])
def test_a_stall_of_the_event_loop_answers_once_counts_no_backend_failure_and_is_counted(stalled_ms: float) -> None:
    clock = JumpingClock()

    async def body(placer: Placer) -> None:
        seen: list[Event] = []
        placer.runtime.event_observers.append(lambda now, event: seen.append(event))
        async with placer.place() as established, placer.place() as connecting:
            established.up()
            established.asked()  # a message is unanswered while the loop is blocked
            connecting.reached()
            clock.jumped_ms += stalled_ms
            established.answered()
            assert isinstance(next(event for event in seen if isinstance(event, EventLoopStalled)), EventLoopStalled)
            assert not established.moved.is_set() and not established.over
            backends = placer.reducer.backends.values()
            assert all(not backend.reported_slow for backend in backends), (
                "a delay in this process is not a latency of the backend"
            )
            servers = placer.reducer.balancer.backends.values()
            assert all(server.consecutive_failures == 0 for server in servers), (
                "a stall of this process is not a failure of a backend"
            )
            if stalled_ms > 400.0:
                assert connecting.moved.is_set()
                with pytest.raises(Rejected):
                    connecting.up()
                assert placer.counters()["refused"] == 1
            else:
                connecting.up()
        assert placer.counters()["stalls"] == 1

    run(body, clock=clock)


def test_many_stalls_leave_every_request_with_one_answer() -> None:
    counts = asyncio.run(run_with_stalls(11, 8))
    assert {name: count for name, count in counts.items() if name not in ("jobs", "stalls")} == dict.fromkeys(
        ("second_answers", "unanswered", "late_after_stall", "leaked_jobs"), 0
    )
    assert counts["jobs"] == 80 and counts["stalls"] >= 8


def test_timers_that_are_due_together_run_in_their_order() -> None:
    async def body() -> None:
        clock = JumpingClock()
        timers, ran = Timers(clock), list[object]()
        timers.on_due = ran.append
        for delay, timer in ((300.0, "c"), (100.0, "a"), (100.0, "b"), (200.0, "gone"), (5000.0, "later")):
            timers.set(delay, timer)
        timers.cancel("gone")
        clock.jumped_ms += 1000.0
        timers.run_due()
        assert ran == ["a", "b", "c"]

    asyncio.run(body())


def test_close_migrates_established_requests_answers_waiting_ones_and_cancels_the_rest() -> None:
    async def body() -> None:
        source = StaticList(ENDPOINTS)
        placer = Placer(SETTINGS, source, seed=3)
        outcomes: dict[str, str] = {}

        async def request(name: str) -> None:
            try:
                async with placer.place() as placement:
                    if name != "attempt":
                        placement.up()
                    await (asyncio.Event() if name == "unresponsive" else placement.moved).wait()
                    outcomes[name] = "moved"
            except (PlacerClosed, asyncio.CancelledError) as error:
                outcomes[name] = type(error).__name__

        await placer.start()
        tasks = [asyncio.ensure_future(request(name)) for name in ("established", "unresponsive", "attempt")]
        await asyncio.sleep(0)
        source.change([])
        tasks.append(asyncio.ensure_future(request("waiting")))
        await asyncio.sleep(0)
        closing = asyncio.ensure_future(placer.close(30.0))
        await asyncio.sleep(0)
        with pytest.raises(PlacerClosed):
            async with placer.place():
                pass
        started = asyncio.get_running_loop().time()
        await placer.close(0.05)  # as at a second SIGINT
        await asyncio.gather(closing, *tasks)
        assert asyncio.get_running_loop().time() - started < 1.0
        assert outcomes == {
            "established": "moved",
            "unresponsive": "CancelledError",
            "attempt": "moved",
            "waiting": "PlacerClosed",
        }
        assert not placer.reducer.requests and not placer.entered
        with pytest.raises(PlacerClosed):
            await placer.start()

    asyncio.run(body())


@pytest.mark.parametrize("endpoints", [ENDPOINTS, []])
def test_cancelling_a_request_at_any_point_leaves_nothing_behind(endpoints: list[Endpoint]) -> None:
    async def body(placer: Placer) -> None:
        async def request() -> None:
            async with placer.place() as placement:
                await asyncio.sleep(0)
                await placement.failed()
                await asyncio.sleep(0)
                placement.up()
                await asyncio.sleep(0)
                await placement.failed(TerminationReason.CONNECTION_RESET)

        for steps in range(10):
            task = asyncio.ensure_future(request())
            for _ in range(steps):
                await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert not placer.reducer.requests and not placer.entered, f"after {steps} steps"
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.0), placer.place() as placement:
                await placement.moved.wait()

    run(body, endpoints)


def test_a_backend_that_drains_before_the_request_was_sent_may_not_be_used() -> None:
    async def body(placer: Placer) -> None:
        assert isinstance(placer.source, StaticList)
        async with placer.place() as placement:
            first = placement.backend
            placer.source.change(
                [
                    Endpoint(endpoint.name, endpoint.address, EndpointState.DRAINING)
                    if endpoint.name == first
                    else endpoint
                    for endpoint in ENDPOINTS
                ]
            )
            assert placement.moved.is_set()
            with pytest.raises(BackendDropped):
                placement.up()
            await placement.failed()
            assert placement.backend != first and not placement.moved.is_set()
            placement.up()

    run(body)


@pytest.mark.parametrize("late_ms", [398.0, 2000.0], ids=("no time to send it", "answered at the deadline"))
def test_a_request_that_ends_within_the_call_of_reached_is_not_sent(late_ms: float) -> None:
    """Guard against a host that sends a request although `reached` has just found that it was rejected or aborted."""
    clock = JumpingClock()

    async def body(placer: Placer) -> None:
        with pytest.raises((Rejected, BackendDropped)):
            async with placer.place() as placement:
                clock.jumped_ms += late_ms
                placement.reached()

    run(body, clock=clock)


def test_use_before_the_start_after_the_close_or_elsewhere_is_a_clear_error() -> None:
    placer = Placer(SETTINGS, StaticList(ENDPOINTS))

    async def place() -> str:
        try:
            async with placer.place():
                return "placed"
        except (PlacerClosed, WrongContext) as error:
            return str(error)

    async def body() -> None:
        assert "has not been started" in await place()
        async with placer:
            assert await place() == "placed"
            messages: list[str] = []
            thread = threading.Thread(target=lambda: messages.append(asyncio.run(place())))
            thread.start()
            thread.join()
            assert "another thread" in messages[0]
            placer.process = os.getpid() + 1  # as in a forked process
            assert "another process" in await place()
            placer.process = os.getpid()
        assert "closing" in await place()

    asyncio.run(body())
    placer.state = PlacerState.OPEN
    assert "another event loop" in asyncio.run(place())


def test_a_request_above_the_limit_of_ten_thousand_is_rejected() -> None:
    async def body(placer: Placer) -> None:
        placer.max_requests = 10_000
        may_end = asyncio.Event()

        async def request() -> None:
            async with placer.place() as placement:
                placement.up()
                await may_end.wait()

        tasks = [asyncio.ensure_future(request()) for _ in range(10_000)]
        while placer.counters().get("up", 0) < 10_000:
            await asyncio.sleep(0)
        with pytest.raises(Rejected):
            async with placer.place():
                pass
        may_end.set()
        await asyncio.gather(*tasks)

    run(body)


def test_a_callback_that_fails_keeps_the_old_list_and_is_called_again() -> None:
    async def body() -> None:
        is_failing, calls = False, 0

        async def fetch() -> list[Endpoint]:
            nonlocal calls
            calls += 1
            if is_failing:
                raise OSError("the service is down")
            return ENDPOINTS

        source = CallbackList(fetch, every_s=0.001)
        async with Placer(SETTINGS, source, seed=1) as placer:
            while placer.counters().get("lists", 0) < 2:
                await asyncio.sleep(0)
            is_failing = True
            while placer.reducer.balancer.discovery.failures == 0:
                await asyncio.sleep(0.001)
            async with placer.place() as placement:
                placement.up()
            is_failing, calls_before = False, calls
            source.ask(0)  # as the balancer does after its backoff
            while calls == calls_before or placer.reducer.balancer.discovery.failures:
                await asyncio.sleep(0.001)

    asyncio.run(body())


def test_a_minute_of_failed_list_requests_keeps_the_old_list_and_retries_with_backoff() -> None:
    clock, ask_count = JumpingClock(), 0

    class FailingList(StaticList):
        def ask(self, version: int) -> None:
            nonlocal ask_count
            ask_count += 1
            assert self.on_update is not None
            self.on_update(EndpointsUpdated(ListKind.FAILED))

    async def body() -> None:
        async with Placer(SETTINGS, FailingList(ENDPOINTS), seed=3, clock=clock) as placer:
            placer.post(EndpointsUpdated(ListKind.FAILED))
            for _ in range(120):
                clock.jumped_ms += 500.0
                placer.runtime.timers.run_due()
                async with placer.place() as placement:
                    placement.up()
            assert 3 <= ask_count <= 30, "the retries back off"
            assert placer.counters()["up"] == 120

    asyncio.run(body())


def test_the_list_is_watched_over_http_as_the_daemon_does() -> None:
    async def body() -> None:
        service = await LineServer().open()
        async with Placer(SETTINGS, WatchedList(f"127.0.0.1:{service.port}"), seed=1) as placer:
            watch, request = await service.next_request()
            assert request.startswith("GET /api/targets?stream=1")
            line = (
                '{"revision":4,"complete":true,"members":[{"id":"s-1","host_port":"10.1.0.18:3000","phase":"ready",'
                '"size":1.0,"up_since_ms":0}]}\n'
            )
            watch.writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + f"{len(line):x}\r\n{line}\r\n".encode()
            )
            async with placer.place(deadline=5.0) as placement:
                assert placement.address == ("10.1.0.18", 3000)
            watch.writer.transport.abort()
            while placer.reducer.balancer.discovery.failures == 0:
                await asyncio.sleep(0.001)
            hanging, _ = await service.next_request()
            await service.next_request()
            assert not hanging.reader.at_eof(), "a call without an answer is hedged by another one beside it"
            assert placer.counters()["lists"] == 2, "the list and the failure, no heartbeat"

    asyncio.run(body())


@pytest.mark.parametrize(
    "make, name",
    [
        (lambda: ConnectionClass("c", aim_s=0.0), "ConnectionClass.aim_s"),
        (lambda: ConnectionClass("c", deadline_s=0.1), "ConnectionClass.deadline_s"),
        (lambda: LibrarySettings(relays=2, number=2), "number"),
        (lambda: LibrarySettings(zone="a"), "zone"),
        (lambda: LibrarySettings(classes=()), "classes"),
        (lambda: LibrarySettings(cold_share=0.0), "cold_share"),
        (lambda: Placer(SETTINGS).place(cls="what"), "cls"),
        (lambda: Placer(SETTINGS).place(tenant="what"), "tenant"),
    ],
)
def test_a_wrong_setting_is_named(make: Callable[[], object], name: str) -> None:
    with pytest.raises(SettingError, match=f"^{name} is"):
        make()


# --- recorded sequences -------------------------------------------------------------------------


def test_daemon_and_library_choose_alike_on_a_recorded_sequence(tmp_path: Path) -> None:
    path = tmp_path / "sequence.jsonl"
    assert record_sequence(path, 20261201, 4000) >= 4000
    comparison, played = replay_both(path)
    assert (
        comparison["identical"]
        and comparison["daemon"] == comparison["library"]
        and comparison["library"]["second"] == 0
    )
    assert comparison["choices"] > 500 and len({a for answers in played.answers.values() for a in answers}) >= 2


def test_a_placer_is_recorded_and_replayed_the_same() -> None:
    out, backends = io.BytesIO(), list[str]()

    async def body() -> None:
        placer = Placer(SETTINGS, StaticList(ENDPOINTS), seed=9)
        placer.runtime.event_observers.append(Recorder(out, placer.core, 9, placer.clock.now()).event)
        async with placer:
            for key in range(20):
                async with placer.place(key=key) as placement:
                    backends.append(placement.backend)
                    if key % 3 == 0:
                        await placement.failed()
                        backends.append(placement.backend)
                    placement.up()

    asyncio.run(body())
    out.seek(0)
    played = play_library(*read_sequence(out))
    assert [choice[3] for choice in played.choices if choice[0] == "reach"] == backends
    assert all(answers == ["up"] for answers in played.answers.values())


@pytest.mark.parametrize(
    "damage, message",
    [
        (lambda data: b"{}\n" + data, "line 1 is not a valid header"),
        (lambda data: data.replace(b'"version":1', b'"version":9', 1), "line 1: unsupported format"),
        (lambda data: data + b'[9e12,"Nobody",{}]\n', "line 3: unknown event 'Nobody'"),
        (lambda data: data + b"[9e12,", "line 3 cannot be decoded"),
        (lambda data: data + b'[1.0,"Stalled",{"for_ms":1.0}]\n', "line 3: the time decreases"),
    ],
)
def test_a_damaged_sequence_is_rejected_with_its_line(damage: Callable[[bytes], bytes], message: str) -> None:
    out = io.BytesIO()
    recorder = Recorder(out, SETTINGS.core(), 1, 5000.0)
    recorder.event(6000.0, EventLoopStalled(1.0))
    with pytest.raises(SequenceError, match=message):
        list(read_sequence(io.BytesIO(damage(out.getvalue())))[1])


def test_the_example_shows_a_drain_and_a_move() -> None:
    counts = asyncio.run(run_demo(1.5, 6, seed=5))  # with some other seeds the draining backend has no clients
    assert counts["messages"] > 6 and counts["moves"] >= 1 and counts["refused"] == 0
