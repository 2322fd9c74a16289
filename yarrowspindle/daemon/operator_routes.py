"""The routes of the operators' API of a relay. Paths and response texts are published names."""

from __future__ import annotations

from http import HTTPStatus

from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.operator_api import Routes


def routes(service: RelayService) -> Routes:
    """Return the functions of the API by path and method."""

    def ready() -> tuple[int, str]:
        if service.ready():
            return HTTPStatus.OK, "ready\n"
        return HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n"

    def telemetry() -> tuple[int, str]:
        return HTTPStatus.OK, service.telemetry.text()

    def evacuate() -> tuple[int, str]:
        service.drain()
        return HTTPStatus.OK, "evacuating\n"

    def rejoin() -> tuple[int, str]:
        service.cancel_drain()
        return HTTPStatus.OK, "serving\n" if service.ready() else "stopping\n"

    return {
        "/api/ready": {"GET": ready},
        "/api/telemetry": {"GET": telemetry},
        "/api/evacuate": {"PUT": evacuate},
        "/api/rejoin": {"PUT": rejoin},
    }
