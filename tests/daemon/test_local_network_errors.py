"""Errors of the local network do not count against the backends."""

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

BACKENDS, REQUESTS = 6, 24
ERRORS = ("ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "EADDRNOTAVAIL", "ENETDOWN", "ENOBUFS", "EPERM")


class FailingNetworkLoop(uvloop.Loop):
    """An event loop whose connections to `unreachable_ports` fail with `error`."""

    error = ""
    unreachable_ports: frozenset[int] = frozenset()

    async def create_connection(self, *args: Any, **kwargs: Any) -> Any:
        if len(args) > 2 and args[2] in self.unreachable_ports:
            raise OSError(getattr(errno, self.error), self.error)
        return await super().create_connection(*args, **kwargs)


async def send_request(service: RelayService, number: int) -> bytes:
    reader, writer = await asyncio.open_connection(*service.config.listen)
    writer.write(f"OPEN {number:016x} 7f3a9c21e0b4d655 c=charge,t=acme,d=600\r\n".encode())
    try:
        return await asyncio.wait_for(reader.read(), 1.5)
    finally:
        writer.close()


@pytest.mark.parametrize("error", ERRORS)
def test_backends_are_not_ejected_for_errors_of_the_local_network(error: str) -> None:
    async def body() -> None:
        backends = [Backend() for _ in range(BACKENDS)]
        for backend in backends:
            await backend.open()
        service = RelayService(read_config(config(backends)), SystemClock())
        service.start()
        LineFront(service, 200).start()
        service.serving = True
        loop = asyncio.get_running_loop()
        assert isinstance(loop, FailingNetworkLoop)
        loop.error, loop.unreachable_ports = error, frozenset(backend.port for backend in backends)
        answers = await asyncio.gather(*(send_request(service, n) for n in range(1, REQUESTS + 1)))
        assert all(answer.split()[0] == b"BUSY" for answer in answers), "no request was sent"
        reducer = service.reducer
        assert len(reducer.balancer.ejected(reducer.now)) <= 1

    with asyncio.Runner(loop_factory=FailingNetworkLoop) as runner:
        runner.run(body())
