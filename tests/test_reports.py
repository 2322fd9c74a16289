"""Reports to Graphite and collectd, against loopback stand-ins; the daemon serves on when nobody takes them."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from tests.stand_ins import WAIT_S, Server, free_port, relay
from yarrowspindle.transport.receivers import Receiver


def operator(graphite: int, collectd: int) -> str:
    return f'[metrics]\ngraphite = "127.0.0.1:{graphite}"\ncollectd = "127.0.0.1:{collectd}"\ninterval_s = 0.05\n'


def test_what_the_core_does_is_told_to_both(tmp_path: Path) -> None:
    async def inside() -> None:
        graphite, datagrams = await Server().open(), asyncio.Queue[bytes]()

        class Collectd(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: object) -> None:
                datagrams.put_nowait(data)

        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(Collectd, ("127.0.0.1", 0))
        port = transport.get_extra_info("sockname")[1]
        async with relay(tmp_path, operator(graphite.port, port)) as world:
            held = await world.standing()
            peer = await graphite.next()
            seen: dict[str, str] = {}
            async with asyncio.timeout(WAIT_S):
                while seen.get("yarrowspindle.n0.jobs.open") != "1":
                    name, value, stamp = (await peer.hear()).split(" ")
                    seen[name] = value
                    assert int(stamp) > 0
                while b"effect.Join\0" not in (packet := await datagrams.get()):
                    pass
            assert held[0].writer is not None
            assert packet.startswith(b"\0\0\0\x07n0\0") and len(packet) <= 1452
        transport.close()

    asyncio.run(inside())


@pytest.mark.parametrize("listening", [False, True])
def test_a_receiver_that_takes_nothing_slows_nobody(tmp_path: Path, listening: bool) -> None:
    async def inside() -> None:
        with socket.socket() as deaf:  # takes the connection and never reads
            deaf.bind(("127.0.0.1", 0))
            if listening:
                deaf.listen()
            async with relay(tmp_path, operator(deaf.getsockname()[1], free_port())) as world:
                for _ in range(3):
                    submitter, _, node = await world.standing()
                    submitter.say("hello")
                    assert await node.hear() == "hello"

    asyncio.run(inside())


def test_what_a_receiver_does_not_take_is_thrown_away_and_it_is_tried_again() -> None:
    async def inside() -> None:
        receiver = Receiver(("127.0.0.1", free_port()))
        receiver.send(b"one")
        assert receiver.connecting is not None and receiver.lost == 1
        await receiver.connecting
        receiver.send(b"two")
        assert receiver.connecting is None and receiver.lost == 2, "not before its wait is over"
        server = await Server().open()
        receiver.address, receiver.again_at = ("127.0.0.1", server.port), 0.0
        receiver.send(b"three")
        assert receiver.connecting is not None
        await receiver.connecting
        receiver.send(b"four\r\n")
        assert await (await server.next()).hear() == "four"

    asyncio.run(inside())
