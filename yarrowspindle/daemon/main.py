"""Start, serve, stop."""

from __future__ import annotations

import asyncio
import errno
import gc
import signal
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

import uvloop
from loguru import logger

from yarrowspindle.daemon.config import Config, ConfigError, Operator, load_config, load_operator
from yarrowspindle.daemon.connection_limiter import descriptors_left
from yarrowspindle.daemon.log import log_to
from yarrowspindle.daemon.metrics import report
from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.fronts.line_front import LineFront
from yarrowspindle.runtime import SystemClock

T = TypeVar("T")
MAX_START_S, START_AGAIN_S = 9.0, 0.05  # a relay is to be ready within 10 s
FOR_A_MOMENT = frozenset(
    (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR)
)
END_S = 0.25  # for the ends of connections, once all was moved or answered


async def once_free(what: str, start: Callable[[], Awaitable[T]]) -> T:
    """Starts what needs a socket, again and again while the system has none to give: an address that the process
    before still holds, descriptors or memory that are short just now. Raises OSError after START_MOST_S."""
    until, said = time.monotonic() + MAX_START_S, ""
    while True:
        try:
            return await start()
        except OSError as error:
            if error.errno not in FOR_A_MOMENT or time.monotonic() >= until:
                raise
            if (why := str(error)) != said:
                logger.warning("{} cannot be had yet: {}", what, why)
            said = why
        await asyncio.sleep(START_AGAIN_S)


async def serve(config: Config, operator: Operator) -> None:
    hub = RelayService(config, SystemClock(), operator)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, hub.reload)
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):  # from before the first connection is taken in
        loop.add_signal_handler(number, stopping.set)
    hub.start()
    control = None
    if operator.control is not None:
        # Imported late: the platform does without the package that this one needs.
        from yarrowspindle.daemon.relay_configuration import RelayEndpoint

        control = RelayEndpoint(hub, operator.control)
        control.start()
    descriptors = descriptors_left(config.sockets) - (operator.quic.max_connections if operator.quic else 0)
    if config.settings.may_probe and config.settings.load_report_fields:
        descriptors -= hub.prober.most
    if config.operator is not None:
        from yarrowspindle.operator_api import MOST, OperatorApi

        descriptors -= MOST + 2  # one more while the oldest is ended, and its socket

    async def listen() -> LineFront:
        return LineFront(hub, descriptors).start()

    server = await once_free("the clients' address", listen)
    api = None
    if config.operator is not None:
        from yarrowspindle.daemon.operator_routes import routes

        api = OperatorApi(routes(hub), lambda text: logger.error("an operator's call failed: {}", text))
        await once_free("the operators' address", partial(api.start, *config.operator))
        logger.info("the operators' API is at {}:{}", *config.operator)
    if operator.quic is not None:
        from yarrowspindle.fronts.quic_front import QuicFront  # needs packages that the platform does without

        await QuicFront(hub, operator.quic).start()
    peering = None
    if operator.peers is not None:
        from yarrowspindle.daemon.membership_endpoint import (
            MembershipEndpoint,  # needs a package that the platform does without
        )

        peering = MembershipEndpoint(hub, operator.peers)
        peering.start()
    turning = None
    if operator.turns is not None and peering is not None:
        from yarrowspindle.daemon.maintenance_endpoint import MaintenanceEndpoint

        turning = MaintenanceEndpoint(hub, peering, operator.turns)
        await turning.start()
    reports = []
    if operator.metrics is not None:
        reports.append(loop.create_task(report(hub.metrics, operator.metrics, config.name)))
    hub.serving = True
    gc.collect()
    gc.freeze()  # what is here now stays; collecting it again would only make jobs late
    gc.set_threshold(20_000, 50, 100)
    await stopping.wait()
    logger.info("asked to stop: {} jobs are here", len(hub.reducer.requests))
    await asyncio.sleep(hub.stop() / 1000.0)
    await server.end(END_S)
    for task in reports:
        task.cancel()
    if control is not None:
        await control.close()
    if turning is not None:
        await turning.close()
    if peering is not None:
        await peering.close()
    hub.prober.close()
    if api is not None:
        api.close()
    logger.info("stopped: {} jobs are left", len(hub.reducer.requests))


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until it can be followed; the file is about to be read anyway
    log_to("INFO")
    try:
        operator = load_operator()
        log_to(operator.log_level)
        if operator.control is not None and operator.control.role == "controller":
            from yarrowspindle.daemon import controller

            controller.check_sections(operator)
            uvloop.run(controller.serve(operator.control, operator))
            return 0
        config = load_config()
    except (ConfigError, ValueError) as error:
        logger.error("{}", error)
        return 2
    uvloop.run(serve(config, operator))
    return 0
