"""What a relay took of the shared settings and could not keep yet is kept at its end, if the disk is well again."""

from __future__ import annotations

import asyncio
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from tests.daemon.test_configuration_daemon import ENTRIES, Cluster
from yarrowspindle.configuration.events import MessageReceived
from yarrowspindle.configuration.messages import Snapshot
from yarrowspindle.configuration.state import content_digest
from yarrowspindle.daemon import background_store
from yarrowspindle.daemon.config import read_operator
from yarrowspindle.daemon.relay_configuration import RelayEndpoint


@pytest.mark.parametrize("well_again", (True, False))
def test_a_version_that_could_not_be_kept_is_kept_at_the_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, well_again: bool
) -> None:
    """The disk is well again before the next try is due, and then the process is told to end."""

    async def body() -> None:
        monkeypatch.setattr(background_store, "RETRY_S", 30.0)
        world = Cluster(tmp_path, ["c0"])
        settings = read_operator(world.relay("r0")).control
        assert settings is not None
        metrics = SimpleNamespace(sources={}, more_gauges=[])
        hub: Any = SimpleNamespace(config=SimpleNamespace(name="r0"), take=lambda entries: None, metrics=metrics)
        endpoint = RelayEndpoint(hub, settings)
        assert endpoint.file is not None
        store, failing = endpoint.file.store, True

        def on_bad_disk(kept: Any) -> None:
            if failing:
                raise OSError(28, "No space left on device")
            store(kept)

        monkeypatch.setattr(endpoint.file, "store", on_bad_disk)
        endpoint.start()
        endpoint.post(MessageReceived(settings.controllers[0].sender, Snapshot(1, content_digest(1, ENTRIES), ENTRIES)))
        while not endpoint.counts["unkept"]:
            await asyncio.sleep(0.01)
        failing = not well_again
        began = asyncio.get_running_loop().time()
        await endpoint.close()
        assert asyncio.get_running_loop().time() - began < 0.3, "a disk must not hold up the end"
        assert endpoint.file.path.exists() is well_again
        if well_again:
            assert world.file("r0").load().version == 1

    asyncio.run(body())
