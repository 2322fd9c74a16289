"""Start, serve, stop."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys

import uvloop
from loguru import logger

from yarrowspindle.program.clock import Clock
from yarrowspindle.program.config import Config, ConfigError, load_config
from yarrowspindle.program.relay import Relay
from yarrowspindle.transport.submitter import Submitter

BACKLOG = 1024
STOP_MS = 2800.0  # SIGKILL comes 3.7 s after SIGTERM at the soonest
STOP_FLUSH_S = 0.3


async def serve(config: Config) -> None:
    relay = Relay(config, Clock())
    relay.start()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Submitter(relay), *config.listen, backlog=BACKLOG)
    logger.info("{} serves at {}:{}", config.name, *config.listen)
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    gc.collect()
    gc.freeze()  # what is here now stays; collecting it again would only make jobs late
    gc.set_threshold(20_000, 50, 100)
    await stopping.wait()
    logger.info("asked to stop: {} jobs are here", len(relay.reducer.jobs))
    relay.stop(STOP_MS)
    await asyncio.sleep(STOP_MS / 1000.0)
    server.close()
    await asyncio.sleep(STOP_FLUSH_S)
    logger.info("stopped: {} jobs are left", len(relay.reducer.jobs))


def main() -> int:
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", level="INFO", backtrace=False)
    try:
        config = load_config()
    except ConfigError as error:
        logger.error("{}", error)
        return 2
    uvloop.run(serve(config))
    return 0
