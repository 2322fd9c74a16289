"""The process of a controller, which serves no clients: start, signals and shutdown."""

from __future__ import annotations

import asyncio
import signal

from loguru import logger

from yarrowspindle.configuration.settings import ControlSettings
from yarrowspindle.daemon.config import ConfigError
from yarrowspindle.daemon.controller_endpoint import ControllerEndpoint
from yarrowspindle.daemon.controller_files import ControllerFiles
from yarrowspindle.daemon.metrics_reporter import report_periodically
from yarrowspindle.daemon.operator_config import OperatorConfig

LOCK_RETRY_S = 0.2
RELAY_SECTIONS = ("quic", "rebalance", "peers", "turns")  # of the operator's file


async def serve(settings: ControlSettings, operator: OperatorConfig) -> None:
    """Runs a controller until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    shutdown_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, shutdown_requested.set)
    loop.add_signal_handler(signal.SIGHUP, logger.info, "a controller does not reload its settings: restart it")
    files = ControllerFiles(settings)
    if not await _load_files(files, shutdown_requested):
        return
    endpoint = ControllerEndpoint(settings, files)
    await endpoint.start()
    reporting = None
    if operator.metrics is not None:
        reporting = loop.create_task(report_periodically(endpoint, operator.metrics, endpoint.name))
    await shutdown_requested.wait()
    if reporting is not None:
        reporting.cancel()
    await endpoint.close()
    logger.info("stopped")


async def _load_files(files: ControllerFiles, shutdown_requested: asyncio.Event) -> bool:
    """Waits until the files can be read. Returns False where the process is stopped before."""
    last_failure = ""
    while failure := files.load():
        if failure != last_failure:
            logger.warning("control: {}: this controller waits", failure)
        last_failure = failure
        try:
            await asyncio.wait_for(shutdown_requested.wait(), LOCK_RETRY_S)
            return False
        except TimeoutError:
            pass
    return True


def check_sections(operator: OperatorConfig) -> None:
    """Raises ConfigError where the operator's file of a controller has a section for relays."""
    for section in RELAY_SECTIONS:
        if getattr(operator, section) is not None:
            raise ConfigError(f'[{section}] is for relays: with control.role "controller" nobody is served')
