"""A version that could not be stored yet is stored at shutdown if the disk has recovered."""

from __future__ import annotations

import asyncio
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from tests.daemon.configuration_processes import ENTRIES, ControllerCluster
from yarrowspindle.configuration.events import MessageReceived
from yarrowspindle.configuration.messages import Snapshot
from yarrowspindle.configuration.state import content_digest
from yarrowspindle.daemon import background_store
from yarrowspindle.daemon.operator_config import read_operator_config
from yarrowspindle.daemon.relay_configuration import RelayEndpoint


@pytest.mark.parametrize("has_recovered", (True, False))
def test_a_version_that_could_not_be_stored_is_stored_at_the_shutdown(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, has_recovered: bool
) -> None:
    """The disk recovers before the next retry, and then the process is stopped."""

    async def body() -> None:
        monkeypatch.setattr(background_store, "RETRY_S", 30.0)
        cluster = ControllerCluster(tmp_path, ["c0"])
        settings = read_operator_config(cluster.relay("r0")).control
        assert settings is not None
        metrics = SimpleNamespace(counter_sources={}, gauge_sources=[])
        service: Any = SimpleNamespace(
            config=SimpleNamespace(name="r0"), apply_shared_settings=lambda entries: None, metrics=metrics
        )
        endpoint = RelayEndpoint(service, settings)
        assert endpoint.file is not None
        store, failing = endpoint.file.store, True

        def store_on_failing_disk(stored: Any) -> None:
            if failing:
                raise OSError(28, "No space left on device")
            store(stored)

        monkeypatch.setattr(endpoint.file, "store", store_on_failing_disk)
        endpoint.start()
        endpoint.post(MessageReceived(settings.controllers[0].sender, Snapshot(1, content_digest(1, ENTRIES), ENTRIES)))
        while not endpoint.counts["unkept"]:
            await asyncio.sleep(0.01)
        failing = not has_recovered
        start_time = asyncio.get_running_loop().time()
        await endpoint.close()
        assert asyncio.get_running_loop().time() - start_time < 0.3, "a disk must not delay the shutdown"
        assert endpoint.file.path.exists() is has_recovered
        if has_recovered:
            assert cluster.file("r0").load().version == 1

    asyncio.run(body())
