"""Reports of metrics to Graphite and collectd, if the operator's file has their addresses."""

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
    """Send a report at each interval until cancelled. Repeated failures with the same cause are logged once.

    Args:
        metrics: the source of the reported values.
        config: the receivers and the interval.
        name: the name of this relay or controller in the reports.
    """
    reporter = Reporter(metrics, config, name)
    last_failure = ""
    while True:
        await asyncio.sleep(config.interval_s)
        try:
            await reporter.report()
            last_failure = ""
        except Exception as error:  # of any kind: a failed report must not end the process
            if repr(error) != last_failure:
                last_failure = repr(error)
                logger.warning("metrics: a report was not sent: {}", last_failure)


class Reporter:
    """Sender of reports to the receivers that the operator's file names."""

    def __init__(self, metrics: MetricsSource, config: MetricsConfig, name: str) -> None:
        self.metrics = metrics
        self.config = config
        self.name = name
        self.receiver = TcpMetricsSender(config.graphite) if config.graphite else None
        self.datagrams: UdpMetricsSender | None = None

    async def report(self) -> None:
        """Send one report. Errors of the metrics' sources and of the sockets propagate."""
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
    """Open a UDP socket to this address. Raise OSError if the system cannot provide one."""
    datagrams = UdpMetricsSender()
    await asyncio.get_running_loop().create_datagram_endpoint(lambda: datagrams, remote_addr=address)
    return datagrams
