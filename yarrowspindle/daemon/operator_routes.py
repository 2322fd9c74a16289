"""What each call of the operators' API does to the relay: the routes that `operator/` serves."""

from __future__ import annotations

from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.operator_api import Routes


def routes(hub: RelayService) -> Routes:
    def ready() -> tuple[int, str]:
        return (200, "ready\n") if hub.ready() else (503, "not ready\n")

    def evacuate() -> tuple[int, str]:
        hub.evacuate()
        return 200, "evacuating\n"

    def rejoin() -> tuple[int, str]:
        hub.rejoin()
        return 200, "serving\n" if hub.ready() else "stopping\n"

    return {
        "/api/ready": {"GET": ready},
        "/api/telemetry": {"GET": lambda: (200, hub.telemetry.text())},
        "/api/evacuate": {"PUT": evacuate},
        "/api/rejoin": {"PUT": rejoin},
    }
