"""The operators' parts: the hand-over of an upgrade, the operators' API, figures, drain and settings that change."""

from __future__ import annotations

import asyncio
import socket

from yarrowspindle.transport.listener import Listener


def test_a_second_process_of_the_relay_can_listen_at_the_same_address() -> None:
    async def inside() -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        first = Listener(("127.0.0.1", port), 16, asyncio.Protocol, lambda: True, print)
        second = Listener(("127.0.0.1", port), 16, asyncio.Protocol, lambda: True, print)
        assert first.sock.getsockname() == second.sock.getsockname()
        first.close()
        second.close()

    asyncio.run(inside())
