"""The process of a relay, or of a controller: start, serve, shut down."""

from __future__ import annotations

import asyncio
import errno
import gc
import signal
import time
from collections.abc import Awaitable, Callable, Coroutine
from functools import partial
from typing import TYPE_CHECKING, TypeVar

import uvloop
from loguru import logger

from yarrowspindle.daemon.config import Config, ConfigError, load_config
from yarrowspindle.daemon.metrics_reporter import report_periodically
from yarrowspindle.daemon.operator_config import OperatorConfig, load_operator_config
from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.fronts.connection_limiter import descriptors_left
from yarrowspindle.fronts.line_front import LineFront
from yarrowspindle.runtime import SystemClock
from yarrowspindle.telemetry.log import configure_log

if TYPE_CHECKING:  # the platform does without these packages
    from yarrowspindle.daemon.maintenance_endpoint import MaintenanceEndpoint
    from yarrowspindle.daemon.membership_endpoint import MembershipEndpoint
    from yarrowspindle.daemon.relay_configuration import RelayEndpoint
    from yarrowspindle.operator_api import OperatorApi

T = TypeVar("T")

EXIT_CONFIG_ERROR = 2
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
MAX_START_S = 9.0  # a relay has to be ready within 10 s of its start
START_RETRY_S = 0.05
# Errors of the system that may pass: an address that the process before still holds, or a shortage.
TRANSIENT_ERRORS = frozenset(
    (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR)
)
# For the ends of connections, once all were migrated or answered. The rest of the reserve is for a hold, and for the
# interpreter's own end.
CONNECTION_CLOSE_S = 0.15
# Garbage collection would only make requests late: what stands at the start is frozen, the rest is collected seldom.
GC_THRESHOLDS = (20_000, 50, 100)


async def start_with_retries(resource: str, start: Callable[[], Awaitable[T]]) -> T:
    """Starts what needs a socket, and tries again while the system is short of one.

    Args:
        resource: what is started, for the log.
        start: starts it.

    Raises:
        OSError: of another kind than `TRANSIENT_ERRORS`, or still raised after MAX_START_S.
    """
    deadline = time.monotonic() + MAX_START_S
    last_error = ""
    while True:
        try:
            return await start()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or time.monotonic() >= deadline:
                raise
            if str(error) != last_error:
                last_error = str(error)
                logger.warning("{} cannot be had yet: {}", resource, last_error)
        await asyncio.sleep(START_RETRY_S)


class RelayProcess:
    """The parts of a running relay, started and closed in their order."""

    def __init__(self, config: Config, operator: OperatorConfig) -> None:
        self.config = config
        self.operator = operator
        self.service = RelayService(config, SystemClock(), operator)
        self.shutdown_requested = asyncio.Event()
        self.front: LineFront | None = None
        self.api: OperatorApi | None = None
        self.configuration: RelayEndpoint | None = None
        self.membership: MembershipEndpoint | None = None
        self.maintenance: MaintenanceEndpoint | None = None
        self.reports: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then shuts down."""
        self._handle_signals()
        self.service.start()
        self._start_configuration()
        await self._start_fronts()
        await self._start_membership()
        self._start_reports()
        self.service.serving = True
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        await self.shutdown_requested.wait()
        await self._shut_down()

    def _handle_signals(self) -> None:
        """Before the first connection is accepted, so that none is lost to a signal."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.service.reload)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.shutdown_requested.set)

    def _start_configuration(self) -> None:
        if self.operator.control is None:
            return
        from yarrowspindle.daemon.relay_configuration import RelayEndpoint

        self.configuration = RelayEndpoint(self.service, self.operator.control)
        self.configuration.start()

    async def _start_fronts(self) -> None:
        descriptors = self._front_descriptors()

        async def listen() -> LineFront:
            return LineFront(self.service, descriptors).start()

        self.front = await start_with_retries("the clients' address", listen)
        if self.config.operator is not None:
            await self._start_operator_api(*self.config.operator)
        if self.operator.quic is not None:
            from yarrowspindle.fronts.quic_front import QuicFront

            await QuicFront(self.service, self.operator.quic).start()

    def _front_descriptors(self) -> int:
        """Returns how many descriptors the line front may use: what the other parts do not need."""
        descriptors = descriptors_left(self.config.max_descriptors)
        if self.operator.quic is not None:
            descriptors -= self.operator.quic.max_connections
        if self.config.settings.may_probe and self.config.settings.load_report_fields:
            descriptors -= self.service.health_checker.max_connections
        if self.config.operator is not None:
            from yarrowspindle.operator_api import MAX_CALLS

            descriptors -= MAX_CALLS + 2  # one more while the oldest is closed, and the listening socket
        return descriptors

    async def _start_operator_api(self, host: str, port: int) -> None:
        from yarrowspindle.daemon.operator_routes import routes
        from yarrowspindle.operator_api import OperatorApi

        api = OperatorApi(routes(self.service), lambda text: logger.error("an operator's call failed: {}", text))
        await start_with_retries("the operators' address", partial(api.start, host, port))
        self.api = api
        logger.info("the operators' API is at {}:{}", host, port)

    async def _start_membership(self) -> None:
        if self.operator.peers is None:
            return
        from yarrowspindle.daemon.membership_endpoint import MembershipEndpoint

        self.membership = MembershipEndpoint(self.service, self.operator.peers)
        self.membership.start()
        if self.operator.turns is None:
            return
        from yarrowspindle.daemon.maintenance_endpoint import MaintenanceEndpoint

        self.maintenance = MaintenanceEndpoint(self.service, self.membership, self.operator.turns)
        await self.maintenance.start()

    def _start_reports(self) -> None:
        if self.operator.metrics is not None:
            reporting = report_periodically(self.service.metrics, self.operator.metrics, self.config.name)
            self.reports.append(asyncio.get_running_loop().create_task(reporting))

    async def _shut_down(self) -> None:
        """Migrates or answers everybody, then closes the parts, those that others rest on last."""
        service = self.service
        logger.info("shutting down: {} requests and connections are open", len(service.reducer.requests))
        loop = asyncio.get_running_loop()
        deadline = loop.time() + service.begin_shutdown() / 1000.0
        await asyncio.sleep(deadline - loop.time())
        if self.front is not None:
            await self.front.shut_down(deadline + CONNECTION_CLOSE_S)
        for task in self.reports:
            task.cancel()
        for endpoint in (self.configuration, self.maintenance, self.membership):
            if endpoint is not None:
                await endpoint.close()
        service.health_checker.close()
        if self.api is not None:
            self.api.close()
        logger.info("stopped: {} requests and connections are left", len(service.reducer.requests))


async def serve(config: Config, operator: OperatorConfig) -> None:
    """Runs one relay until it has shut down."""
    await RelayProcess(config, operator).run()


def run_until_shutdown(serving: Coroutine[None, None, None]) -> None:
    """Runs a process's event loop, and ignores the signals that were handled there from then on.

    The interpreter, as it ends, restores the default action of signals that Python handles: one that comes so late
    would end the process, whose exit status would be lost. A signal that is ignored stays so.
    """
    try:
        uvloop.run(serving)
    finally:
        for signal_number in HANDLED_SIGNALS:
            signal.signal(signal_number, signal.SIG_IGN)


def main() -> int:
    """Runs a relay, or the controller that the operator's file names. Returns the process's exit status."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until it can be handled; the file is about to be read anyway
    configure_log("INFO")
    try:
        operator = load_operator_config()
        configure_log(operator.log_level)
        if operator.control is not None and operator.control.role == "controller":
            from yarrowspindle.daemon import controller

            controller.check_sections(operator)
            run_until_shutdown(controller.serve(operator.control, operator))
            return 0
        config = load_config()
    except (ConfigError, ValueError) as error:
        logger.error("{}", error)
        return EXIT_CONFIG_ERROR
    run_until_shutdown(serve(config, operator))
    return 0
