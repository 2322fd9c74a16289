"""The QUIC front between aioquic clients and backends, on real loopback sockets."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from tests.ports import free_port
from tests.quic_stand_ins import ID_KEY, IDS, RESET_KEY, QuicBackend, QuicClient
from tests.stand_ins import relay
from yarrowspindle.daemon.config import Config
from yarrowspindle.daemon.operator_config import QuicConfig
from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.decisions.events import EndpointState, ListKind
from yarrowspindle.decisions.settings import Idempotency, RequestClass, Settings
from yarrowspindle.fronts.quic_flow import MAX_PENDING_PER_ADDRESS
from yarrowspindle.fronts.quic_front import QuicFront
from yarrowspindle.protocol import quic
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.events import Endpoint, EndpointsUpdated
from yarrowspindle.runtime import SystemClock

ANSWER_S = 0.4  # in which a backend has to answer, see `run_with_backends`


@dataclass
class QuicSetup:
    backends: list[QuicBackend]
    service: RelayService
    front: QuicFront
    relay: Address
    endpoints: dict[str, Endpoint]
    clients: list[QuicClient] = field(default_factory=list)

    async def client(self) -> QuicClient:
        self.clients.append(await QuicClient(self.relay).start())
        return self.clients[-1]

    async def connected_client(self) -> QuicClient:
        client = await self.client()
        await asyncio.wait_for(client.established, 5.0)
        return client

    def update_endpoint(self, name: str, state: EndpointState) -> None:
        self.endpoints[name].state = state
        self.service.post(EndpointsUpdated(ListKind.DELTA, [self.endpoints[name]]))

    def backend_of(self, answer: bytes) -> str:
        return answer.split(b":")[0].decode()


def run_with_backends(
    body: Callable[[QuicSetup], Awaitable[None]],
    *backends: dict[str, Any],
    first_started_ms: float = 0.0,
    class_deadline_ms: float = 3000.0,
    idempotency: Idempotency = Idempotency.IDEMPOTENT,
    max_connections: int = 50,
    **changes: Any,
) -> None:
    async def scenario() -> None:
        quic_backends = [QuicBackend(f"node-{i}", **options) for i, options in enumerate(backends)]
        endpoints = {}
        for i, backend in enumerate(quic_backends):
            endpoints[backend.name] = Endpoint(
                backend.name, await backend.open(), started_ms=first_started_ms if i == 0 else 0.0
            )
        settings = Settings(
            classes=(RequestClass(800.0, class_deadline_ms, idempotency),),
            max_attempts=3,
            may_cancel=True,
            clients_heed_retry_after=True,
            max_retry_after_ms=2000.0,
            **changes,
        )
        known = EndpointsUpdated(ListKind.CACHED, list(endpoints.values()))
        service = RelayService(Config("n0", ("127.0.0.1", 0), ("127.0.0.1", 1), 5, settings, known), SystemClock())
        service.start()
        front = QuicFront(
            service, QuicConfig(("127.0.0.1", 0), ID_KEY, RESET_KEY, answer_ms=400.0, max_connections=max_connections)
        )
        await front.start()
        assert front.client_socket.transport is not None
        setup = QuicSetup(
            quic_backends, service, front, front.client_socket.transport.get_extra_info("sockname"), endpoints
        )
        try:
            await body(setup)
        finally:
            for end in (*quic_backends, *setup.clients):
                end.close()
            front.client_socket.transport.abort()

    asyncio.run(scenario())


def test_streams_stay_on_their_backend_when_clients_rebind_their_ports() -> None:
    async def body(setup: QuicSetup) -> None:
        clients = [await setup.connected_client() for _ in range(6)]
        backend_names = [setup.backend_of(await client.exchange(b"0")) for client in clients]
        for step in range(1, 4):
            for client in clients:
                await client.rebind()
            answers = await asyncio.gather(*(client.exchange(b"%d" % step) for client in clients))
            assert answers == [f"{backend_name}:{step}".encode() for backend_name in backend_names]
        assert sum(len(backend.connections) for backend in setup.backends) == 6, "no connection was established twice"
        assert all(client.received.empty() and not client.terminated.done() for client in clients), (
            "nothing was answered twice"
        )
        assert len(set(backend_names)) == 2
        counted = {load.connections for load in setup.service.reducer.balancer.backends.values()}
        assert counted == {backend_names.count("node-0"), backend_names.count("node-1")}

    run_with_backends(body, {}, {})


def test_a_known_id_reaches_a_draining_backend_until_it_is_removed_and_a_new_request_never_does() -> None:
    async def body(setup: QuicSetup) -> None:
        first = await setup.connected_client()
        backend_name = setup.backend_of(await first.exchange(b"a"))
        setup.update_endpoint(backend_name, EndpointState.DRAINING)
        await first.rebind()
        assert await first.exchange(b"b") == f"{backend_name}:b".encode()
        others = [await setup.connected_client() for _ in range(5)]
        assert backend_name not in [setup.backend_of(await client.exchange(b"c")) for client in others]
        setup.update_endpoint(backend_name, EndpointState.GONE)
        await asyncio.wait_for(first.reset, 5.0)
        assert len(setup.front.table.flows) == 5

    run_with_backends(body, {}, {})


def test_a_rejected_client_gets_one_close_with_retry_advice_and_never_a_second() -> None:
    async def body(setup: QuicSetup) -> None:
        client = await setup.client()
        event = await asyncio.wait_for(client.terminated, 5.0)
        assert event.error_code == quic.CONNECTION_REFUSED and event.reason_phrase.startswith("retry after ")
        assert [backend.initials_received for backend in setup.backends] == [3], (
            "one attempt after another, up to max_attempts"
        )
        client.send_first_flight()
        await asyncio.wait_for(
            (await setup.client()).terminated, 5.0
        )  # by then any answer to the repeated datagrams has arrived
        assert len(client.datagrams) == 1 and setup.front.counts["answered_before"] > 0

    run_with_backends(body, {"refuses": True})


def test_at_the_deadline_the_answer_is_a_close() -> None:
    async def body(setup: QuicSetup) -> None:
        start = time.monotonic()
        event = await asyncio.wait_for((await setup.client()).terminated, 5.0)
        assert event.error_code == quic.CONNECTION_REFUSED and 0.2 < time.monotonic() - start < 0.4
        assert not setup.front.table.flows and not setup.service.reducer.requests

    run_with_backends(body, {"answers": False}, class_deadline_ms=250.0)


def test_a_closed_backend_fails_the_attempt_but_not_the_connection() -> None:
    async def body(setup: QuicSetup) -> None:
        setup.backends[0].close()
        for _ in range(6):
            assert setup.backend_of(await (await setup.connected_client()).exchange(b"x")) == "node-1"

    run_with_backends(body, {}, {})


@pytest.mark.parametrize("idempotency", list(Idempotency))
@pytest.mark.parametrize("resend", ["same port", "other port"])
def test_a_first_flight_that_a_backend_received_is_not_sent_to_another_after_its_port_closed(
    resend: str, idempotency: Idempotency
) -> None:
    """Guard against a request that runs twice: its backend received it and died, and the client sent it again."""

    async def body(setup: QuicSetup) -> None:
        client = await setup.client()
        while not any(backend.initials_received for backend in setup.backends):
            await asyncio.sleep(0.005)
        (first,) = [backend for backend in setup.backends if backend.initials_received]
        (other,) = [backend for backend in setup.backends if backend is not first]
        first.close()
        if resend == "other port":
            await client.rebind()
        client.send_first_flight()
        if idempotency is Idempotency.IDEMPOTENT:
            while not other.initials_received:
                await asyncio.sleep(0.005)
        else:
            event = await asyncio.wait_for(client.terminated, 5.0)
            assert (event.error_code, event.reason_phrase) == (quic.CONNECTION_REFUSED, "not served")
            assert not other.initials_received

    run_with_backends(body, {"answers": False}, {"answers": False}, idempotency=idempotency)


@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_a_first_flight_that_no_backend_received_is_sent_to_another(idempotency: Idempotency) -> None:
    async def body(setup: QuicSetup) -> None:
        setup.backends[0].close()
        for _ in range(6):
            assert setup.backend_of(await (await setup.connected_client()).exchange(b"x")) == "node-1"

    run_with_backends(body, {}, {}, idempotency=idempotency)


def test_an_unresponsive_backend_is_abandoned_after_the_answer_timeout() -> None:
    async def body(setup: QuicSetup) -> None:
        for _ in range(3):
            assert setup.backend_of(await (await setup.connected_client()).exchange(b"x")) == "node-1"
        assert setup.backends[0].initials_received <= 3

    run_with_backends(body, {"answers": False}, {})


def test_a_backend_that_closes_its_port_ends_its_connections_with_a_reset() -> None:
    async def body(setup: QuicSetup) -> None:
        client = await setup.connected_client()
        backend_name = setup.backend_of(await client.exchange(b"x"))
        next(backend for backend in setup.backends if backend.name == backend_name).close()
        client.connection.send_stream_data(0, b"y")
        client.flush(client.connection)
        await asyncio.wait_for(client.reset, 5.0)
        assert not setup.front.table.flows

    run_with_backends(body, {}, {})


def test_a_restarted_relay_forwards_known_ids() -> None:
    async def body(setup: QuicSetup) -> None:
        client = await setup.connected_client()
        backend_name = setup.backend_of(await client.exchange(b"x"))
        for flow in list(setup.front.table.flows.values()):  # as after a restart: the table is empty
            setup.front._forget(flow, remember=False)
        setup.service.reducer.context.requests.clear()
        assert await client.exchange(b"y") == f"{backend_name}:y".encode()
        assert setup.front.counts["taken_over"] == 1

    run_with_backends(body, {}, {})


def test_a_backend_in_slow_start_gets_no_more_than_its_budget() -> None:
    async def body(setup: QuicSetup) -> None:
        for _ in range(20):
            await setup.connected_client()
        assert len(setup.backends[0].connections) <= 3

    cold: dict[str, Any] = {
        "warmup_ms": 60_000.0,
        "initial_capacity_fraction": 0.31,
        "overload_multiple": 3.0,
        "overload_window_ms": 1500.0,
    }
    run_with_backends(body, {}, {}, first_started_ms=time.time() * 1000.0, **cold)


def test_the_table_is_bounded_and_idle_ids_expire() -> None:
    async def body(setup: QuicSetup) -> None:
        await setup.connected_client()
        client = await setup.client()
        while not setup.front.counts["no_room"]:
            await asyncio.sleep(0)
        assert not client.established.done() and len(setup.front.table.flows) == 1
        (flow,) = setup.front.table.flows.values()
        flow.last_received_at -= setup.front.config.idle_s
        setup.front._sweep()
        assert not setup.front.table.flows and not setup.front.table.by_connection_id and not setup.front.table.by_link
        assert [load.connections for load in setup.service.reducer.balancer.backends.values()] == [0]

    run_with_backends(body, {}, max_connections=1)


def test_malformed_datagrams_are_dropped_and_counted() -> None:
    async def body(setup: QuicSetup) -> None:
        client = await setup.connected_client()
        bad = [b"", b"\x40", b"\xc0\0\0\0\1\xff", b"\xc0\0\0\0\1\x08abcdefgh\x08abcdefgh\0\x41", b"\x40" + b"z" * 40]
        for data in bad:
            setup.front.on_client_datagram(data, ("127.0.0.1", 9))
        assert setup.front.counts["malformed"] == 4 and setup.front.counts["unknown_id"] == 1
        assert setup.service.metrics.counters()["quic.malformed"] == 4.0
        assert await client.exchange(b"x")
        other = b"\xc0\x0a\x0a\x0a\x0a\x08abcdefgh\x08abcdefgh" + bytes(1200)
        client.send_datagram(other)
        assert setup.front.ids.decode(b"\x10" + bytes(16)) is not None and len(setup.front.table.flows) == 1

    run_with_backends(body, {})


def test_the_daemon_serves_both_fronts_if_the_operators_file_configures_quic(tmp_path: Path) -> None:
    async def scenario() -> None:
        port = free_port()
        operator = f'[quic]\nlisten = "127.0.0.1:{port}"\nid_key = "{ID_KEY.hex()}"\nreset_key = "{RESET_KEY.hex()}"\n'
        async with relay(tmp_path, operator) as env:
            backends = [QuicBackend(name) for name in env.backends]
            for backend in backends:
                await backend.open(env.backends[backend.name].port)
            client = await QuicClient(("127.0.0.1", port)).start()
            backend_name = (await client.exchange(b"x")).split(b":")[0]
            await client.rebind()
            assert await client.exchange(b"y") == backend_name + b":y"
            await env.established_connection()
            env.stop()
            await asyncio.wait_for(client.reset, 5.0)
            for end in (*backends, client):
                end.close()

    asyncio.run(scenario())


def test_an_id_encodes_its_backend_and_connection_without_revealing_them() -> None:
    ids = {IDS.encode(7, 9, sequence) for sequence in range(50)}
    assert len(ids) == 50 and {IDS.decode(connection_id) for connection_id in ids} == {(7, 9)}
    assert quic.ConnectionIdCodec(bytes(16)).decode(next(iter(ids))) != (7, 9)
    assert quic.stateless_reset(bytes(16), 21) is None and len(quic.stateless_reset(bytes(16), 1200) or b"") == 43


def test_first_flights_of_one_address_leave_room_for_other_clients() -> None:
    """Guard against a client that takes the whole table with Initials under ever new connection ids."""

    async def body(setup: QuicSetup) -> None:
        for number in range(60):
            connection_id = number.to_bytes(8, "big")
            initial = b"\xc0\0\0\0\1\x08" + connection_id + b"\x08abcdefgh\0\x44\x96" + bytes(1174)
            setup.front.on_client_datagram(initial, ("127.0.0.1", 9))
        assert len(setup.front.table.flows) == MAX_PENDING_PER_ADDRESS
        client = await setup.connected_client()
        assert await client.exchange(b"x")
        assert setup.front.counts["no_room"] == 0
        await asyncio.sleep(2.0 * ANSWER_S)
        assert not setup.front.table.pending, "each has had its answer"

    run_with_backends(body, {}, class_deadline_ms=1000.0 * ANSWER_S)
