"""The entry point of a relay or controller process: start, serve, shut down."""

from __future__ import annotations

import asyncio
import errno
import gc
import math
import signal
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import TYPE_CHECKING, TypeVar

import uvloop
from loguru import logger

from yarrowspindle.daemon.config import Config, ConfigError, load_config
from yarrowspindle.daemon.list_store import ListStore, list_file_of, load_list
from yarrowspindle.daemon.metrics_reporter import report_periodically
from yarrowspindle.daemon.operator_config import OperatorConfig, load_operator_config
from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.fronts.connection_limiter import descriptors_left
from yarrowspindle.fronts.line_front import LineFront
from yarrowspindle.routing.events import SuccessorServing
from yarrowspindle.runtime import SystemClock
from yarrowspindle.telemetry.log import configure_log
from yarrowspindle.transport.listening_sockets import other_process_listens

if TYPE_CHECKING:  # optional features, whose dependencies may not be installed
    from yarrowspindle.daemon.maintenance_endpoint import MaintenanceEndpoint
    from yarrowspindle.daemon.membership_endpoint import MembershipEndpoint
    from yarrowspindle.daemon.relay_configuration import RelayEndpoint
    from yarrowspindle.operator_api import OperatorApi

T = TypeVar("T")

EXIT_CONFIG_ERROR = 2
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
MAX_START_S = 9.0  # a relay must be ready within 10 s of its start
START_RETRY_S = 0.05
# Errors that may be temporary: an address that the previous process still holds, or a shortage of system resources.
TRANSIENT_ERRORS = frozenset(
    (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR)
)
# For closing connections after all requests were answered and all connections migrated. The rest of
# `relay_service.CLOSE_RESERVE_MS` is for a stall of the process and for the interpreter's exit.
CONNECTION_CLOSE_S = 0.15
SUCCESSOR_POLL_S = 0.02  # between two looks for another process of this relay, during a shutdown
HAND_OVER_S = 0.1  # time limit for emptying an accept queue that fills up again
# A process that starts beside another one waits this long for its first list, and no longer than this fraction of the
# time for which the other one goes on serving after SIGTERM, which may arrive at once.
MAX_LIST_WAIT_S = 1.0
LIST_WAIT_FRACTION = 0.5
# Garbage collection delays requests: objects that exist after the start are frozen, the others are collected rarely.
GC_THRESHOLDS = (20_000, 50, 100)


async def start_with_retries(resource: str, start: Callable[[], Awaitable[T]], max_s: float = MAX_START_S) -> T:
    """Start a part that needs a socket, and retry while the error is transient.

    Args:
        resource: the name of the socket or address for the log.
        start: opens the socket; called until it returns.
        max_s: for how long to retry, in seconds.

    Raises:
        OSError: the error is not in `TRANSIENT_ERRORS`, or it persists after `max_s`.
    """
    deadline = time.monotonic() + max_s
    last_error = ""
    while True:
        try:
            return await start()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS or time.monotonic() >= deadline:
                raise
            if str(error) != last_error:
                last_error = str(error)
                logger.warning("{} is not available yet, retrying: {}", resource, last_error)
        await asyncio.sleep(START_RETRY_S)


class RelayProcess:
    """The parts of a relay process, started and closed in order of their dependencies."""

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
        self.list_store: ListStore | None = None
        # Reports, parts whose address is not available yet, and looks at the stored list.
        self.background: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down."""
        self._handle_signals()
        self._start_service()
        self._start_configuration()
        link = self.service.process_link
        await link.open(connect=other_process_listens(self.config.listen))
        if not link.available:  # this process would not learn of one that starts later
            self._follow_stored_list(lambda: True)
        await self._wait_for_list()
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
        """Install the signal handlers before the first connection is accepted, so that no signal drops a connection."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.service.reload)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.shutdown_requested.set)

    def _start_service(self) -> None:
        """Start with the list that an earlier process of the relay has stored, and store what discovery sends."""
        file = list_file_of(self.config)
        self.service.start(load_list(file))
        if file is not None:
            self.list_store = ListStore(self.service.list_sharing, file)
            self.list_store.start()

    def _follow_stored_list(self, other_process_serves: Callable[[], bool]) -> None:
        """Take up what another process of the relay stores, while one serves."""
        if self.list_store is not None:
            following = self.list_store.follow(other_process_serves)
            self.background.append(asyncio.get_running_loop().create_task(following))

    def _other_process_listens(self) -> bool:
        return other_process_listens(self.config.listen) if self.front is None else self.front.successor_listens()

    def _start_configuration(self) -> None:
        if self.operator.control is None:
            return
        from yarrowspindle.daemon.relay_configuration import RelayEndpoint

        self.configuration = RelayEndpoint(self.service, self.operator.control)
        self.configuration.start()

    async def _wait_for_list(self) -> None:
        """Wait for discovery before serving if another process of this relay serves, which may know newer lists."""
        if not other_process_listens(self.config.listen):
            return
        self._follow_stored_list(self._other_process_listens)
        max_wait_s = min(MAX_LIST_WAIT_S, LIST_WAIT_FRACTION * self.service.longest_deadline_ms() / 1000.0)
        if await self.service.confirm_list(max_wait_s):
            logger.info("another process of this relay serves: this one has confirmed the endpoint list and takes over")
        else:
            logger.warning(
                "discovery has not answered within {:.1f} s: serving on the cached endpoint list (version {})",
                max_wait_s,
                self.service.list_sharing.version.number,
            )

    async def _start_fronts(self) -> None:
        descriptors = self._front_descriptors()

        async def listen() -> LineFront:
            return LineFront(self.service, descriptors).start()

        # QUIC goes first: an error in its configuration ends the process, which must not have accepted clients by then.
        if self.operator.quic is not None:
            from yarrowspindle.fronts.quic_front import QuicFront

            await self._start_or_retry("the QUIC address", QuicFront(self.service, self.operator.quic).start)
        self.front = await start_with_retries("the clients' address", listen)
        if self.config.operator is not None:
            await self._start_operator_api(*self.config.operator)

    def _front_descriptors(self) -> int:
        """Return the number of file descriptors for the line front: those that the other parts do not need."""
        descriptors = descriptors_left(self.config.max_descriptors)
        if self.operator.quic is not None:
            descriptors -= self.operator.quic.max_connections
        if self.config.settings.may_probe and self.config.settings.load_report_fields:
            descriptors -= self.service.health_checker.max_connections
        if self.config.operator is not None:
            from yarrowspindle.operator_api import MAX_CALLS

            descriptors -= MAX_CALLS + 2  # plus the connection that replaces the oldest one, and the listening socket
        return descriptors

    async def _start_or_retry(self, resource: str, start: Callable[[], Awaitable[None]]) -> None:
        """Start a part, or retry in the background while its address is not available.

        Another process of this relay may hold the address until this one serves and the other one is ended.
        """
        try:
            await start()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                raise
            retrying = start_with_retries(resource, start, max_s=math.inf)
            self.background.append(asyncio.get_running_loop().create_task(retrying))

    async def _start_operator_api(self, host: str, port: int) -> None:
        from yarrowspindle.daemon.operator_routes import routes
        from yarrowspindle.operator_api import OperatorApi

        api = OperatorApi(routes(self.service), lambda text: logger.error("operators' API: a call failed: {}", text))
        self.api = api

        async def listen() -> None:
            await api.start(host, port)
            logger.info("the operators' API listens at {}:{}", host, port)

        await self._start_or_retry("the operators' address", listen)

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
            self.background.append(asyncio.get_running_loop().create_task(reporting))

    async def _hand_over_to_successor(self, deadline: float) -> None:
        """Leave new connections to another process of this relay while one listens, until the deadline.

        If that process ends first, this one accepts connections again, and does not hand over a second time: of two
        processes that both end, neither would listen.
        """
        if await self._successor_changes(True, deadline):
            logger.info("another process of this relay serves: new connections are left to it")
            self.service.post(SuccessorServing())
            self._follow_stored_list(self._other_process_listens)
            assert self.front is not None
            await self.front.hand_over(asyncio.get_running_loop().time() + HAND_OVER_S)
            if await self._successor_changes(False, deadline):
                self._take_back(self.front)

    def _take_back(self, front: LineFront) -> None:
        try:
            front.listen()
        except OSError as error:
            logger.error("the other process of this relay has ended, and its address is not available: {}", error)
            return
        self.service.post(SuccessorServing(False))
        logger.warning("the other process of this relay has ended: new connections are accepted again")

    async def _successor_changes(self, listens: bool, deadline: float) -> bool:
        """Wait until another process listens, or no longer does; return False if it does not happen in time."""
        loop = asyncio.get_running_loop()
        while self.front is not None and loop.time() < deadline - SUCCESSOR_POLL_S:
            if self.front.successor_listens() is listens:
                return True
            await asyncio.sleep(SUCCESSOR_POLL_S)
        return False

    async def _shut_down(self) -> None:
        """Migrate connections and answer requests, then close the parts, each after those that depend on it."""
        service = self.service
        logger.info("shutting down: {} requests and connections are open", len(service.reducer.requests))
        loop = asyncio.get_running_loop()
        deadline = loop.time() + service.begin_shutdown() / 1000.0
        await self._hand_over_to_successor(deadline)
        await asyncio.sleep(deadline - loop.time())
        if self.front is not None:
            await self.front.shut_down(deadline + CONNECTION_CLOSE_S)
        for task in self.background:
            task.cancel()
        if self.list_store is not None:
            await self.list_store.close()
        for endpoint in (self.configuration, self.maintenance, self.membership):
            if endpoint is not None:
                await endpoint.close()
        service.health_checker.close()
        if self.api is not None:
            self.api.close()
        service.process_link.close()
        logger.info("stopped: {} requests and connections are left", len(service.reducer.requests))


async def serve(config: Config, operator: OperatorConfig) -> None:
    """Run one relay until it has shut down."""
    await RelayProcess(config, operator).run()


def run_until_shutdown(serving: Coroutine[None, None, None]) -> None:
    """Run the event loop of a process, and ignore the handled signals afterwards.

    On exit the interpreter restores the default action of each signal that has a Python handler: a signal at that
    point would kill the process, which would lose its exit status. An ignored signal stays ignored.
    """
    try:
        uvloop.run(serving)
    finally:
        for signal_number in HANDLED_SIGNALS:
            signal.signal(signal_number, signal.SIG_IGN)


def main() -> int:
    """Run a relay, or a controller if the operator's file says so. Return the exit status of the process."""
    # Until its handler is installed; the configuration is about to be read anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
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
