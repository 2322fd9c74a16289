"""Committed changes survive temporary disk faults and kills of controllers during a write.

The soak test's shim injects the faults into the controllers' processes: open, read, write, sync and rename below their
directories fail with ENOSPC or EIO, and a process is killed after it has written the first half of its data.
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
from tests.daemon.configuration_processes import ControllerCluster, ControllerProcess, running_cluster
from tests.stand_ins import SETTINGS

ROUNDS = 5
FAULTS_PER_THOUSAND = (0, 100, 350)
KILL_ROUNDS = (2, 4)


class ControllerOnFailingDisk(ControllerProcess):
    """A controller process with the shim, whose memory-mapped page sets which calls on its directory fail."""

    library = Path()
    page: Page | None = None

    def environment(self, controller_tables: str, cluster: str) -> dict[str, str]:
        self.page = Page(self.folder / f"{self.name}.page")
        variables = {
            "LD_PRELOAD": str(self.library),
            "SOAK_SHIM_PAGE": str(self.page.path),
            "SOAK_SHIM_FOLDER": str(self.directory),
        }
        return super().environment(controller_tables, cluster) | variables


def committed_step_ms(shown: dict[str, Any]) -> int:
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
        fleet = ControllerCluster(tmp_path, [])
        fleet.controllers = [ControllerOnFailingDisk(name, tmp_path) for name in ("c0", "c1", "c2")]
        for controller in fleet.controllers:
            assert isinstance(controller, ControllerOnFailingDisk)
            controller.library = library
        async with running_cluster(tmp_path, [], existing=fleet):
            assert await fleet.run_command(0, "load", str(platform)) == 0
            acknowledged = attempted = 0
            for number in range(1, ROUNDS + 1):
                victim = random.choice(fleet.controllers)
                for controller in fleet.controllers:
                    assert isinstance(controller, ControllerOnFailingDisk) and controller.page is not None
                    share, error = random.choice(FAULTS_PER_THOUSAND), random.choice(shim.DISK_ERRORS)
                    controller.page.fail(Field.DISK_ERRNO, Field.DISK_PERMILLE, error, share)
                    controller.page.set(Field.DISK_KILL, int(controller is victim and number in KILL_ROUNDS))
                attempted = number
                requester = random.randrange(3)
                if await fleet.run_command(requester, "set", f"step_ms={number}") == 0:
                    acknowledged = number
                for controller in fleet.controllers:
                    assert isinstance(controller, ControllerOnFailingDisk) and controller.page is not None
                    controller.page.clear_faults()
                    if controller.process.returncode is not None:
                        await controller.end()
                        await controller.start(controller.environment(fleet.controller_tables, fleet.name))
            for controller in fleet.controllers:
                await controller.end()
            await asyncio.gather(
                *(
                    controller.start(controller.environment(fleet.controller_tables, fleet.name))
                    for controller in fleet.controllers
                )
            )
            assert await fleet.run_command(0, "set", "over_share_worth=0.5") == 0
            shown = await fleet.show(0, capsys)
            assert acknowledged <= committed_step_ms(shown) <= attempted and acknowledged > 0, (acknowledged, shown)

    asyncio.run(asyncio.wait_for(body(), 90.0))
