"""An upgrade of a relay with a QUIC front: the new process ends with an exception, since its UDP address is in use."""

from __future__ import annotations

import asyncio
import importlib.util
import signal
import time
from pathlib import Path

from review.common2.stand_ins import (
    BROKEN,
    HELD,
    HOST,
    NOT_RUN,
    Backend,
    Clients,
    Discovery,
    Record,
    Relay,
    config_of,
    free_port,
    run_case,
    says_yes,
)

READY_WITHIN_S = 30.0  # no relay "takes over 30 s to be ready"
KILL_AFTER_S = 3.0 + 0.7  # "the longest deadline (counted as 3 s where it is longer) plus 0.7 s"
QUIC_SECTION = """[quic]
listen = "{listen}"
id_key = "00112233445566778899aabbccddeeff"
reset_key = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
"""


async def body(record: Record, folder: Path, trouble: bool) -> int:
    """Start a second process of the relay while the first one serves, or once the first one has ended."""
    if importlib.util.find_spec("aioquic") is None:
        record.write("requirements-quic.txt is not installed: run review/build-2.sh")
        return NOT_RUN
    operator_file = folder / "operator.toml"
    operator_file.write_text(QUIC_SECTION.format(listen=f"{HOST}:{free_port()}"), encoding="utf-8")
    variables = {"YARROWSPINDLE_OPERATOR": str(operator_file)}
    backends = [Backend(f"s-{number}", record) for number in range(1, 5)]
    discovery = Discovery(backends, record)
    for part in (*backends, discovery):
        await part.start()
    known = [backend.entry() for backend in backends]
    old_config = config_of(discovery, known, operator=f"{HOST}:{free_port()}")
    old = Relay(old_config, folder, "old", variables)
    new_config = config_of(discovery, known, operator=f"{HOST}:{free_port()}", listen=old_config["listen"])
    new = Relay(new_config, folder, "new", variables)
    try:
        await old.start()
        await old.ready()
        clients = Clients(record, old_config["listen"])
        traffic = asyncio.ensure_future(clients.every(0.05, time.monotonic() + 60.0, 4.8))
        await asyncio.sleep(2.0)
        if not trouble:
            record.write("SIGTERM to the old process, and the new one once it has ended")
            traffic.cancel()
            old.signal(signal.SIGTERM)
            await asyncio.wait_for(old.wait(), KILL_AFTER_S)
        await new.start()
        record.write("the new process is started")
        deadline = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < deadline and new.running() and not await says_yes(new_config["operator"]):
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        traffic.cancel()
        yes = await says_yes(new_config["operator"])
        record.write(f"the new process: running={new.running()} ready={yes} exit status={new.exit_status()}")
        return HELD if new.running() and yes else BROKEN
    finally:
        await old.end()
        await new.end()


run_case(Path(__file__).parent, body)
