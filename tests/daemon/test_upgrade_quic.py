"""An upgrade of a relay with a QUIC front, on real processes: the second one starts while the first one serves."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.daemon.upgrade import SecondProcess, second_process
from tests.ports import free_port
from tests.quic_stand_ins import ID_KEY, RESET_KEY, QuicBackend, QuicClient
from tests.stand_ins import RelayEnvironment, relay
from yarrowspindle.routing.address import Address

CLIENTS = 8
REBINDS = 8  # each from another port, which the kernel deals to either process
OPERATOR_FILE = """
[log]
level = "DEBUG"
[quic]
listen = "127.0.0.1:{port}"
id_key = "{id_key}"
reset_key = "{reset_key}"
"""

Body = Callable[[RelayEnvironment, SecondProcess, list[QuicBackend], Address, list[QuicClient]], Awaitable[None]]


def run_upgrade(tmp_path: Path, body: Body, answers: bool = True) -> None:
    """Run `body` with both processes, the backends, the relay's address and the clients of the first process."""

    async def scenario() -> None:
        port = free_port()
        operator = OPERATOR_FILE.format(port=port, id_key=ID_KEY.hex(), reset_key=RESET_KEY.hex())
        async with relay(tmp_path, operator) as env:
            backends = [QuicBackend(name, answers=answers) for name in env.backends]
            for backend in backends:
                await backend.open(env.backends[backend.name].port)
            clients = [await QuicClient(("127.0.0.1", port)).start() for _ in range(CLIENTS)]
            if answers:
                await asyncio.gather(*(asyncio.wait_for(client.established, 5.0) for client in clients))
            try:
                async with second_process(env) as second:
                    await second.wait_for_log("serves at")
                    await body(env, second, backends, ("127.0.0.1", port), clients)
            finally:
                for end in (*backends, *clients):
                    end.close()

    asyncio.run(scenario())


def test_the_second_process_of_an_upgrade_serves_beside_the_first_with_a_quic_front(tmp_path: Path) -> None:
    """Guard against a second process that ends because its QUIC address is in use."""

    async def body(
        env: RelayEnvironment,
        second: SecondProcess,
        backends: list[QuicBackend],
        address: Address,
        clients: list[QuicClient],
    ) -> None:
        new = [await QuicClient(address).start() for _ in range(2 * CLIENTS)]
        clients += new
        await asyncio.gather(*(asyncio.wait_for(client.established, 5.0) for client in new))
        env.stop()
        await env.next_log_line("shutting down")
        late = [await QuicClient(address).start() for _ in range(CLIENTS)]
        clients += late
        await asyncio.wait_for(env.process.wait(), 10.0)
        last = await QuicClient(address).start()
        clients.append(last)
        for client in (*late, last):
            assert (await client.exchange(b"x")).endswith(b":x")
        assert not any(client.reset.done() for client in late), "a new connection began at the process that ends"
        assert second.process.returncode is None

    run_upgrade(tmp_path, body)


def test_datagrams_reach_the_process_that_has_their_connection(tmp_path: Path) -> None:
    """Guard against a connection that the other process takes over while its own one has it."""

    async def body(
        env: RelayEnvironment,
        second: SecondProcess,
        backends: list[QuicBackend],
        address: Address,
        clients: list[QuicClient],
    ) -> None:
        for step in range(REBINDS):
            for client in clients:
                await client.rebind()
            answers = await asyncio.gather(*(client.exchange(b"%d" % step) for client in clients))
            assert [answer.partition(b":")[2] for answer in answers] == [b"%d" % step] * CLIENTS
        assert sum(len(backend.connections) for backend in backends) == CLIENTS
        assert not any("number=1 " in line for line in second.log_lines), "the second process has taken one over"

    run_upgrade(tmp_path, body)


def test_a_first_flight_that_comes_again_starts_no_second_request_at_the_other_process(tmp_path: Path) -> None:
    """Guard against a request that runs twice, since its Initial came again at the other process of an upgrade."""

    async def body(
        env: RelayEnvironment,
        second: SecondProcess,
        backends: list[QuicBackend],
        address: Address,
        clients: list[QuicClient],
    ) -> None:
        for _ in range(REBINDS):
            for client in clients:
                await client.rebind()
                client.send_first_flight()
        await asyncio.sleep(0.2)
        assert not any("number=1 " in line for line in second.log_lines), "the second process has begun a request"

    run_upgrade(tmp_path, body, answers=False)


@pytest.mark.parametrize("hold_s", (0.15, 1.0))
def test_new_quic_clients_are_served_while_the_other_process_is_stopped(tmp_path: Path, hold_s: float) -> None:
    """Guard against a client that waits for the word of a process which says nothing."""

    async def body(
        env: RelayEnvironment,
        second: SecondProcess,
        backends: list[QuicBackend],
        address: Address,
        clients: list[QuicClient],
    ) -> None:
        second.process.send_signal(signal.SIGSTOP)
        new = [await QuicClient(address).start() for _ in range(CLIENTS)]
        clients += new
        await asyncio.sleep(hold_s)
        second.process.send_signal(signal.SIGCONT)
        await asyncio.gather(*(asyncio.wait_for(client.established, 5.0) for client in new))

    run_upgrade(tmp_path, body)
