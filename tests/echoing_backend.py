"""A backend as a process of its own, which accepts each request and sends back its lines: `python -m ... PORT`."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress

from tests.stand_ins import ROOT, TIMEOUT_S, RelayEnvironment

READ_BYTES = 1 << 18
BACKLOG = 1024


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer one connection of the relay."""
    with suppress(ConnectionError, ValueError):
        line = await reader.readline()
        if line.startswith(b"OPEN "):
            writer.write(b"UP r1\r\n")
            while data := await reader.read(READ_BYTES):
                writer.write(data)
                await writer.drain()
    writer.close()


async def listen(port: int) -> None:
    server = await asyncio.start_server(serve, "127.0.0.1", port, backlog=BACKLOG)
    print("listening", flush=True)
    await server.serve_forever()


@asynccontextmanager
async def echoing_processes(env: RelayEnvironment) -> AsyncIterator[None]:
    """Replace the backends of the environment by processes that echo, while the block runs."""
    async with AsyncExitStack() as processes:
        for backend in env.backends.values():
            backend.server.close()
            await backend.server.wait_closed()
            await processes.enter_async_context(_process(backend.port))
        yield


@asynccontextmanager
async def _process(port: int) -> AsyncIterator[None]:
    command = (sys.executable, "-m", "tests.echoing_backend", str(port))
    process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=asyncio.subprocess.PIPE)
    try:
        assert process.stdout is not None
        assert await asyncio.wait_for(process.stdout.readline(), TIMEOUT_S)
        yield
    finally:
        process.kill()
        await process.wait()


if __name__ == "__main__":
    asyncio.run(listen(int(sys.argv[1])))
