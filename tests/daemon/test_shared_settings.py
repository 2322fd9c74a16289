"""Shared settings in the service: class numbers over many changes, and the validation of entries."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any

import pytest
from loguru import logger

from tests.daemon.configuration_processes import (
    CHAT,
    ENTRIES,
)
from tests.stand_ins import SETTINGS
from yarrowspindle.daemon.config import read_config
from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.daemon.shared_settings import check_shared_settings, entry_value
from yarrowspindle.routing.events import RequestReceived
from yarrowspindle.runtime import SystemClock


@pytest.fixture
def without_log() -> Iterator[None]:
    logger.disable("yarrowspindle.daemon.relay_service")
    yield
    logger.enable("yarrowspindle.daemon.relay_service")


def config(**changes: Any) -> Any:
    return read_config(
        {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "7", "settings": SETTINGS | changes}
    )


def test_two_thousand_changes_of_a_class_keep_its_numbers_bounded_and_each_request_its_class(without_log: None) -> None:
    async def body() -> None:
        service = RelayService(config(), SystemClock())
        service.post(RequestReceived(service.runtime.new_request(None), 1500.0))  # type: ignore[arg-type]  # its effects are not carried out
        request, old = service.reducer.requests[1], service.config.settings.classes[0]
        for n in range(2000):
            name = ("chat", "chat", "video")[n % 3]
            changed = [CHAT | {"name": name, "deadline_ms": 3000.0 + n}, CHAT | {"name": "call"}]
            service.apply_shared_settings(ENTRIES | {"categories": entry_value(changed)})
            classes, current = service.config.settings.classes, service.config.current_classes
            assert len(classes) <= 6 and service.reducer.balancer.settings.classes == classes
            assert len(set(current.values())) == 2 and classes[current[name]].deadline_ms == 3000.0 + n
            assert request.received.request_class == 0 and classes[0] == old and service.class_name(0) == "chat"
            assert 0 not in current.values(), "its number is not reused while the request exists"
        assert (
            service.telemetry.figures()["reconfig_ok"] == 2000 and service.telemetry.figures()["reconfig_failed"] == 0
        )
        service.runtime.close()

    asyncio.run(body())


def test_a_reused_class_number_keeps_no_estimate_of_the_class_before() -> None:
    async def body() -> None:
        probed = {"stats": {"source": "probe", "columns": ["x0", "rif"]}}
        service = RelayService(config(**probed), SystemClock())
        estimates = service.reducer.balancer.estimates
        assert estimates is not None
        estimates.class_loads[0] = 3.0
        for name in ("b", "c", "d", "chat"):  # one entry under other names: only the name differs
            service.apply_shared_settings(
                ENTRIES | {"categories": entry_value([CHAT | {"name": name}]), "stats": entry_value(probed["stats"])}
            )
            assert len(estimates.class_loads) == len(estimates.class_connections) == len(service.config.classes) <= 2
            assert estimates.class_loads[service.config.current_classes[name]] == 1.0
        service.runtime.close()

    asyncio.run(body())


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"zone": "1"}, "settings.zone is specific to each relay"),
        ({"realms": "[]"}, "settings.realms is specific to each relay"),
        ({"limit": "{}"}, "unknown key settings.limit; did you mean limits?"),
        ({"limits": "{"}, "are invalid"),
        ({"limits": "NaN"}, "NaN is not a number"),
        ({"step_ms": "Infinity"}, "Infinity is not a number"),
        ({"step_ms": "0"}, "tick_ms must be above 0"),
        ({"categories": "{}"}, "categories.count is missing"),
        ({"categories": "[]"}, "are invalid"),
        (
            {"categories": '{"count": 1, "0": {"slo_ms": 1, "deadline_ms": 1}}'},
            "categories has 0 objects for 1 classes; expected a list of objects",
        ),
        ({"categories": entry_value([CHAT | {"name": ""}])}, "expected a distinct printable name for each"),
        ({"categories": entry_value([CHAT | {"name": "a\nb"}])}, "expected a distinct printable name for each"),
        ({"balancers": "0"}, "balancers must be at least 1"),
        ({"obligations": "[" * 5000}, "are invalid"),
        ({"obligations": "9" * 5000}, "are invalid"),
    ],
)
def test_the_check_names_the_invalid_member(change: dict[str, str], message: str) -> None:
    assert not check_shared_settings({}) and not check_shared_settings(ENTRIES)
    assert message in check_shared_settings(ENTRIES | change) and len(check_shared_settings(ENTRIES | change)) <= 300
