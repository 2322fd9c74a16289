"""An upgrade while discovery is down: the new process places requests at backends whose drain the relay was told of."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from review.common2.stand_ins import (
    BROKEN,
    GRACE_S,
    HELD,
    HOST,
    NOT_RUN,
    SLACK_S,
    Backend,
    Clients,
    Discovery,
    Record,
    Relay,
    config_of,
    free_port,
    run_case,
    says_yes,
    sent_after,
)

OUTAGE_S = 8.0  # "discovery is down for 8 s"
TOLD_AFTER_YES_S = 2.0  # "News from discovery counts as told 2 s after the yes"
KILL_AFTER_S = 3.0 + 0.7  # "the longest deadline (counted as 3 s where it is longer) plus 0.7 s"


def late_requests(drained: list[Backend], limit: float) -> dict[str, list[float]]:
    """Return by how many seconds requests at each of these backends were later than the limit."""
    return {backend.name: late for backend in drained if (late := sent_after(backend, limit))}


async def body(record: Record, folder: Path, trouble: bool) -> int:
    """Tell the relay of a drain, take discovery down, upgrade the relay, and look what the drained backend gets."""
    backends = [Backend(f"s-{number}", record) for number in range(1, 9)]
    drained = backends[:2]  # "a quarter of the backends begin to drain right after, and stay up"
    discovery = Discovery(backends, record)
    for part in (*backends, discovery):
        await part.start()
    known = [backend.entry() for backend in backends]
    old_config = config_of(discovery, known, operator=f"{HOST}:{free_port()}")
    old = Relay(old_config, folder, "old")
    new_config = config_of(discovery, known, operator=f"{HOST}:{free_port()}", listen=old_config["listen"])
    new = Relay(new_config, folder, "new")
    try:
        await old.start()
        await old.ready()
        clients = Clients(record, old_config["listen"])
        traffic = asyncio.ensure_future(clients.every(0.05, time.monotonic() + 100.0, 4.8))
        await asyncio.sleep(3.0)
        for backend in drained:
            discovery.change(backend, "draining")
        drained_at = time.monotonic()
        await asyncio.sleep(3.0)
        if late_requests(drained, drained_at + GRACE_S + SLACK_S):
            record.write("the old process did not keep the drain")
            return NOT_RUN
        down_at = time.monotonic()
        if trouble:
            record.write("discovery goes down")
            discovery.mode = "refusing"
            discovery.end_watches()
        await asyncio.sleep(0.2)
        record.write("the new process is started")
        await new.start()
        while not await says_yes(new_config["operator"]):
            await asyncio.sleep(0.05)
        yes_at = time.monotonic()
        record.write("the new process says yes; SIGTERM to the old one")
        old.signal(signal.SIGTERM)
        await asyncio.sleep(KILL_AFTER_S)
        old.signal(signal.SIGKILL)
        await asyncio.sleep(max(0.0, down_at + OUTAGE_S - time.monotonic()))
        record.write("discovery is up")
        discovery.mode = "up"
        await asyncio.sleep(2.0)
        traffic.cancel()
        late = late_requests(drained, yes_at + TOLD_AFTER_YES_S + GRACE_S + SLACK_S)
        record.write(f"requests at the draining backends later than allowed, by s: {late}")
        return BROKEN if late else HELD
    finally:
        await old.end()
        await new.end()


run_case(Path(__file__).parent, body)
