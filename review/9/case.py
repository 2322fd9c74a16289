"""Discovery comes back just after a call that gets no answer: the relay asks again too late, and misses drains."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from review.common2.stand_ins import (
    BROKEN,
    GRACE_S,
    HELD,
    NOT_RUN,
    SLACK_S,
    Backend,
    Clients,
    Discovery,
    Record,
    Relay,
    config_of,
    run_case,
    sent_after,
)

RELAYS = 24  # "twenty to thirty relays"
OUTAGE_S = 8.0  # "discovery is down for 8 s", and "longer outages of discovery": until the next call, 6 s more at most
ANSWER_S = 1.9  # a call that waits its turn; one that waits for more than 2 s fails
TOLD_WITHIN_S = 6.0  # "at the latest 6 s after discovery had it and could be reached"
WAIT_S = 1.2
BACKENDS = 16


async def body(record: Record, folder: Path, trouble: bool) -> int:
    """Cut discovery off, let it return just after a call of the relay, and let a quarter of the backends drain then."""
    backends = [Backend(f"s-{number}", record) for number in range(1, BACKENDS + 1)]
    discovery = Discovery(backends, record)
    for part in (*backends, discovery):
        await part.start()
    config = config_of(discovery, [backend.entry() for backend in backends])
    config["settings"]["balancers"] = RELAYS
    config["settings"]["categories"][0] |= {"deadline_ms": 1000.0 * WAIT_S, "slo_ms": 300.0}
    relay = Relay(config, folder, "relay")
    try:
        await relay.start()
        await relay.ready()
        clients = Clients(record, config["listen"])
        traffic = asyncio.ensure_future(clients.every(0.02, time.monotonic() + 100.0, WAIT_S))
        while not discovery.watches:
            await asyncio.sleep(0.05)
        await asyncio.sleep(3.0)
        if trouble:
            record.write("discovery is cut off: its watch is silent, and calls get no answer")
            discovery.mode = "silent"
            await asyncio.sleep(OUTAGE_S)
            calls, deadline = len(discovery.calls), time.monotonic() + 6.0
            while len(discovery.calls) == calls and time.monotonic() < deadline:
                await asyncio.sleep(0.005)
            record.write("discovery is back")
            discovery.mode, discovery.delay_s = "up", ANSWER_S
        drained = backends[: BACKENDS // 4]
        for backend in drained:
            discovery.change(backend, "draining")
        had_at = time.monotonic()
        await asyncio.sleep(TOLD_WITHIN_S + 6.0)
        traffic.cancel()
        if not any(writer for writer in discovery.watches):
            record.write("the relay has no watch")
            return NOT_RUN
        limit = had_at + TOLD_WITHIN_S + GRACE_S + SLACK_S
        late = {backend.name: seconds for backend in drained if (seconds := sent_after(backend, limit))}
        asked = [round(call - had_at, 2) for call in discovery.calls if call > had_at - 1.0]
        record.write(f"calls, by s after discovery had the drains: {asked}")
        record.write(f"requests at the draining backends later than allowed, by s: {late}")
        return BROKEN if late else HELD
    finally:
        await relay.end()


run_case(Path(__file__).parent, body)
