"""Reports of metrics to Graphite and collectd, where the operator's file names them."""

from __future__ import annotations

import asyncio
import time

from loguru import logger

from yarrowspindle.daemon.metrics import MetricsSource
from yarrowspindle.daemon.operator_config import MetricsConfig
from yarrowspindle.protocol import collectd, graphite
from yarrowspindle.routing.address import Address
from yarrowspindle.transport.metrics_senders import TcpMetricsSender, UdpMetricsSender


async def report_periodically(metrics: MetricsSource, config: MetricsConfig, name: str) -> None:
    """Sends a report at each interval until it is cancelled. One that fails is logged, once for each cause.

    Args:
        metrics: what is reported.
        config: where to, and how often.
        name: of this relay or controller, as it appears in the reports.
    """
    reporter = Reporter(metrics, config, name)
    last_failure = ""
    while True:
        await asyncio.sleep(config.interval_s)
        try:
            await reporter.report()
            last_failure = ""
        except Exception as error:  # of whatever kind: a lost report must not end the relay
            if repr(error) != last_failure:
                last_failure = repr(error)
                logger.warning("a report was not sent: {}", last_failure)


class Reporter:
    """Sends reports to the receivers that the operator's file names."""

    def __init__(self, metrics: MetricsSource, config: MetricsConfig, name: str) -> None:
        self.metrics = metrics
        self.config = config
        self.name = name
        self.receiver = TcpMetricsSender(config.graphite) if config.graphite else None
        self.datagrams: UdpMetricsSender | None = None

    async def report(self) -> None:
        """Sends one report. Raises what a source of metrics or the system raises."""
        config = self.config
        now_s = time.time()
        counters = dict(self.metrics.counters())
        gauges = self.metrics.gauges()
        if self.receiver is not None:
            self.receiver.send(graphite.plaintext(f"{config.prefix}.{self.name}", counters | gauges, now_s))
        if config.collectd is None:
            return
        if self.datagrams is None:
            self.datagrams = await open_datagrams(config.collectd)
        for packet in collectd.packets(self.name, counters, gauges, now_s, config.interval_s):
            self.datagrams.send(packet)


async def open_datagrams(address: Address) -> UdpMetricsSender:
    """Opens a UDP socket to this address. Raises OSError where the system has none to give."""
    datagrams = UdpMetricsSender()
    await asyncio.get_running_loop().create_datagram_endpoint(lambda: datagrams, remote_addr=address)
    return datagrams
