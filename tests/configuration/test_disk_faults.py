"""Controllers on disks that fail for a while, and that are killed during a write: committed changes stay.

Faults are injected by the soak's shim inside the controllers' processes: open, read, write, sync and rename below
their folders fail with ENOSPC or EIO, and a write ends the process after its first half.
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
from tests.daemon.configuration_processes import ControllerCluster, ControllerProcess, cluster
from tests.stand_ins import SETTINGS

ROUNDS = 5
FAULTS_PER_THOUSAND = (0, 100, 350)
KILL_ROUNDS = (2, 4)


class ControllerOnFailingDisk(ControllerProcess):
    """Calls on its directory fail as its page of the shim says; each process has a page."""

    library = Path()
    page: Page | None = None

    def environment(self, machines: str, cluster: str) -> dict[str, str]:
        self.page = Page(self.folder / f"{self.name}.page")
        more = {
            "LD_PRELOAD": str(self.library),
            "SOAK_SHIM_PAGE": str(self.page.path),
            "SOAK_SHIM_FOLDER": str(self.directory),
        }
        return super().environment(machines, cluster) | more


def value_of(shown: dict[str, Any]) -> int:
    entries = shown["entries"]
    return int(json.loads(entries["step_ms"]))


@pytest.mark.parametrize("seed", (1,))
def test_committed_changes_stay_under_disk_faults_and_kills_during_writes(
    tmp_path: Path, seed: int, capsys: pytest.CaptureFixture[str]
) -> None:
    library = shim.build(tmp_path)
    assert library is not None, "this test needs a C compiler, which the test environment has"
    random = Random(seed)
    platform = tmp_path / "platform.json"
    platform.write_text(json.dumps({"name": "n9", "settings": SETTINGS}))

    async def body() -> None:
        world = ControllerCluster(tmp_path, [])
        world.controllers = [ControllerOnFailingDisk(name, tmp_path) for name in ("c0", "c1", "c2")]
        for one in world.controllers:
            assert isinstance(one, ControllerOnFailingDisk)
            one.library = library
        async with cluster(tmp_path, [], found=world):
            assert await world.run_command(0, "load", str(platform)) == 0
            acknowledged = tried = 0
            for number in range(1, ROUNDS + 1):
                victim = random.choice(world.controllers)
                for one in world.controllers:
                    assert isinstance(one, ControllerOnFailingDisk) and one.page is not None
                    share, error = random.choice(FAULTS_PER_THOUSAND), random.choice(shim.DISK_ERRORS)
                    one.page.fail(Field.DISK_ERRNO, Field.DISK_PERMILLE, error, share)
                    one.page.set(Field.DISK_KILL, int(one is victim and number in KILL_ROUNDS))
                tried = number
                asking = random.randrange(3)
                if await world.run_command(asking, "set", f"step_ms={number}") == 0:
                    acknowledged = number
                for one in world.controllers:
                    assert isinstance(one, ControllerOnFailingDisk) and one.page is not None
                    one.page.calm()
                    if one.process.returncode is not None:
                        await one.end()
                        await one.start(one.environment(world.machines, world.name))
            for one in world.controllers:
                await one.end()
            await asyncio.gather(*(one.start(one.environment(world.machines, world.name)) for one in world.controllers))
            assert await world.run_command(0, "set", "over_share_worth=0.5") == 0
            shown = await world.show(0, capsys)
            assert acknowledged <= value_of(shown) <= tried and acknowledged > 0, (acknowledged, shown)

    asyncio.run(asyncio.wait_for(body(), 90.0))
