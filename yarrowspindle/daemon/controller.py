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
RELAY_SECTIONS = ("quic", "rebalance", "peers", "turns")  # sections of the operator's file that only relays have


async def serve(settings: ControlSettings, operator: OperatorConfig) -> None:
    """Run a controller until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    shutdown_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, shutdown_requested.set)
    loop.add_signal_handler(
        signal.SIGHUP,
        logger.info,
        "SIGHUP ignored: a controller does not reload its settings; restart it to apply changes",
    )
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
    """Wait until the files can be read. Return False if the process is stopped before that."""
    last_failure = ""
    while failure := files.load():
        if failure != last_failure:
            logger.warning(
                "control: {}; this controller retries and does not start until it can read its files", failure
            )
        last_failure = failure
        try:
            await asyncio.wait_for(shutdown_requested.wait(), LOCK_RETRY_S)
            return False
        except TimeoutError:
            pass
    return True


def check_sections(operator: OperatorConfig) -> None:
    """Raise ConfigError if the operator's file of a controller has a section for relays."""
    for section in RELAY_SECTIONS:
        if getattr(operator, section) is not None:
            raise ConfigError(f'[{section}] is not allowed if control.role is "controller"; expected only for relays')
