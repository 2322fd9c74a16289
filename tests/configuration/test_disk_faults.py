"""Controllers on disks that fail for a while and are cut by kills in the middle of a write: what was agreed on stands.

The failures are made by the soak's shim inside the controllers' processes: open, read, write, sync and rename below
their folders fail with ENOSPC or EIO, and a write ends the process at its half.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from random import Random
from typing import Any

import pytest

from benchmarks.soak import shim
from benchmarks.soak.shim import Field, Page
from tests.daemon.test_configuration_daemon import Cluster, Controller, cluster
from tests.stand_ins import SETTINGS

ROUNDS, SHARES = 5, (0, 100, 350)
KILLED_IN = (2, 4)


class OnBadDisk(Controller):
    """Its calls on its folder fail as its page says; a page for each process."""

    library = Path()
    page: Page | None = None

    def env(self, machines: str, cluster: str) -> dict[str, str]:
        self.page = Page(self.folder / f"{self.name}.page")
        more = {
            "LD_PRELOAD": str(self.library),
            "SOAK_SHIM_PAGE": str(self.page.path),
            "SOAK_SHIM_FOLDER": str(self.directory),
        }
        return super().env(machines, cluster) | more


def value_of(shown: dict[str, Any]) -> int:
    entries = shown["entries"]
    return int(json.loads(entries["step_ms"]))


@pytest.mark.parametrize("seed", (1,))
def test_what_was_agreed_on_stands_though_disks_fail_and_writes_are_cut(
    tmp_path: Path, seed: int, capsys: pytest.CaptureFixture[str]
) -> None:
    library = shim.build(tmp_path)
    assert library is not None, "this test needs a C compiler, as the machine of the tests has one"
    random = Random(seed)
    platform = tmp_path / "platform.json"
    platform.write_text(json.dumps({"name": "n9", "settings": SETTINGS}))

    async def body() -> None:
        world = Cluster(tmp_path, [])
        world.controllers = [OnBadDisk(name, tmp_path) for name in ("c0", "c1", "c2")]
        for one in world.controllers:
            assert isinstance(one, OnBadDisk)
            one.library = library
        async with cluster(tmp_path, [], found=world):
            assert await world.say(0, "load", str(platform)) == 0
            acknowledged = tried = 0
            for number in range(1, ROUNDS + 1):
                victim = random.choice(world.controllers)
                for one in world.controllers:
                    assert isinstance(one, OnBadDisk) and one.page is not None
                    share, error = random.choice(SHARES), random.choice(shim.DISK_ERRORS)
                    one.page.fail(Field.DISK_ERRNO, Field.DISK_PERMILLE, error, share)
                    one.page.set(Field.DISK_KILL, int(one is victim and number in KILLED_IN))
                tried = number
                asking = random.randrange(3)
                if await world.say(asking, "set", f"step_ms={number}") == 0:
                    acknowledged = number
                for one in world.controllers:
                    assert isinstance(one, OnBadDisk) and one.page is not None
                    one.page.calm()
                    if one.process.returncode is not None:
                        await one.end()
                        await one.start(one.env(world.machines, world.name))
            for one in world.controllers:
                await one.end()
            await asyncio.gather(*(one.start(one.env(world.machines, world.name)) for one in world.controllers))
            assert await world.say(0, "set", "over_share_worth=0.5") == 0
            shown = await world.show(0, capsys)
            assert acknowledged <= value_of(shown) <= tried and acknowledged > 0, (acknowledged, shown)

    asyncio.run(asyncio.wait_for(body(), 90.0))
