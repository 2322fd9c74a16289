"""A relay's endpoint: settings that the service rejects, and a core that fails."""

from __future__ import annotations

import asyncio
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from tests.daemon.configuration_processes import (
    ENTRIES,
    ControllerCluster,
)
from yarrowspindle.configuration.effects import SetTimer
from yarrowspindle.configuration.events import MessageReceived, TimerFired
from yarrowspindle.configuration.messages import Delta, Snapshot
from yarrowspindle.configuration.state import content_digest
from yarrowspindle.daemon.config import ConfigError
from yarrowspindle.daemon.operator_config import read_operator_config
from yarrowspindle.daemon.relay_configuration import RelayEndpoint


def test_a_version_that_the_service_rejects_is_neither_stored_nor_reported_as_applied(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def body() -> None:
        rejects = True

        def apply(entries: Any) -> None:
            if rejects:
                raise ConfigError("no room")

        cluster = ControllerCluster(tmp_path, ["c0"])
        settings = read_operator_config(cluster.relay("r0")).control
        assert settings is not None
        metrics = SimpleNamespace(counter_sources={}, gauge_sources=[])
        service: Any = SimpleNamespace(config=SimpleNamespace(name="r0"), apply_shared_settings=apply, metrics=metrics)
        endpoint = RelayEndpoint(service, settings)
        sent: list[Any] = []
        endpoint._send = lambda send: sent.append(send.message)  # type: ignore[method-assign]
        endpoint.carry_out(endpoint.core.take_effects())
        sender = settings.controllers[0].sender
        endpoint.post(MessageReceived(sender, Snapshot(1, content_digest(1, ENTRIES), ENTRIES)))
        core, store = endpoint.core, endpoint.store
        assert (core.known_version, core.applied_version, core.rejection_reason) == (1, 0, "no room")
        assert store is not None and store.pending is None
        assert {heartbeat.applied_version for heartbeat in sent} == {0} and sent[-1].rejection_reason == "no room"
        rejects = False
        endpoint.post(MessageReceived(sender, Delta(1, 2, content_digest(2, ENTRIES), [{}])))
        assert core.applied_version == 2 == sent[-1].applied_version and store.pending is not None
        effects: list[Any] = []
        monkeypatch.setattr(endpoint, "carry_out", effects.extend)
        monkeypatch.setattr(endpoint.core, "step", None)
        endpoint.post(TimerFired())  # a core that fails is counted, and its timer continues
        assert endpoint.counts["failures"] == 1 and effects == [SetTimer(1000.0)]
        monkeypatch.undo()
        await endpoint.close()

    asyncio.run(body())
