"""A moment's fault of this machine's own network is not held against the servers."""

from __future__ import annotations

import asyncio
import errno
from typing import Any

import pytest
import uvloop

from tests.transport.test_connector import Backend, config
from yarrowspindle.daemon.config import read_config
from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.fronts.line_front import LineFront
from yarrowspindle.runtime import SystemClock

SERVERS, REQUESTS = 6, 24
ERRORS = ("ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "EADDRNOTAVAIL", "ENETDOWN", "ENOBUFS", "EPERM")


class Network(uvloop.Loop):
    """A loop whose way to these ports is gone."""

    error = ""
    lost: frozenset[int] = frozenset()

    async def create_connection(self, *given: Any, **named: Any) -> Any:
        if len(given) > 2 and given[2] in self.lost:
            raise OSError(getattr(errno, self.error), self.error)
        return await super().create_connection(*given, **named)


async def ask(hub: RelayService, number: int) -> bytes:
    reader, writer = await asyncio.open_connection(*hub.config.listen)
    writer.write(f"OPEN {number:016x} 7f3a9c21e0b4d655 c=charge,t=acme,d=600\r\n".encode())
    try:
        return await asyncio.wait_for(reader.read(), 1.5)
    finally:
        writer.close()


@pytest.mark.parametrize("error", ERRORS)
def test_servers_are_not_avoided_for_a_fault_of_the_own_network(error: str) -> None:
    async def body() -> None:
        backends = [Backend() for _ in range(SERVERS)]
        for backend in backends:
            await backend.open()
        hub = RelayService(read_config(config(backends)), SystemClock())
        hub.start()
        LineFront(hub, 200).start()
        hub.serving = True
        loop = asyncio.get_running_loop()
        assert isinstance(loop, Network)
        loop.error, loop.lost = error, frozenset(backend.port for backend in backends)
        answers = await asyncio.gather(*(ask(hub, n) for n in range(1, REQUESTS + 1)))
        assert all(answer.split()[0] == b"BUSY" for answer in answers), "none was sent"
        reducer = hub.reducer
        assert len(reducer.balancer.ejected(reducer.now)) <= 1

    with asyncio.Runner(loop_factory=Network) as runner:
        runner.run(body())
