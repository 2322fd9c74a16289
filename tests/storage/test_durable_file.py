"""Files that must be found again after a restart, on a disk that fails for a while."""

from __future__ import annotations

import asyncio
import errno
import os
from pathlib import Path
from typing import Any

import pytest

from tests.daemon.test_maintenance_daemon import COLD, operator
from tests.ports import free_port
from tests.stand_ins import relay
from yarrowspindle.consensus.register import NONE, AcceptorState
from yarrowspindle.daemon.voter_file import MaintenanceVoterFile, first_state
from yarrowspindle.storage.durable_file import FIRST as FIRST_IDENTITY

VOTERS = ("n0",)


def make_unreadable(path: Path) -> None:
    """Opening it fails, though it is there: a link in a circle."""
    path.rename(path.with_suffix(".aside"))
    path.symlink_to(path.name)


def make_readable(path: Path) -> None:
    path.unlink()
    path.with_suffix(".aside").rename(path)


def test_a_file_that_cannot_be_read_just_now_is_not_taken_for_lost(tmp_path: Path) -> None:
    """A voter that forgot what it promised would lie; one that waits for its disk only says nothing."""

    async def body() -> None:
        file = MaintenanceVoterFile(f"{tmp_path}/turns", "n0", "default")
        file.begin(VOTERS)
        make_unreadable(file.path)
        with pytest.raises(OSError):
            file.load()
        async with relay(tmp_path, operator(tmp_path, free_port()), **COLD) as world:
            await world.logged("cannot be read")
            assert (await (await world.request(wait_ms=500)).hear()).startswith("BUSY")
            make_readable(file.path)
            await world.logged("has its voter's file")
            await world.standing()
        assert not list(file.folder.glob("*.bad"))

    asyncio.run(body())


def test_where_the_folder_cannot_be_synced_the_file_is_the_old_or_the_new_one_and_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """`store` has failed then: what it was to keep was not promised to anybody, whichever of the two is found."""
    file = MaintenanceVoterFile(str(tmp_path), "n0", "lab")
    file.begin(VOTERS)
    old = file.load()
    new = AcceptorState(FIRST_IDENTITY, (9, "n0"), NONE, first_state(VOTERS))
    sync, calls = os.fsync, []

    def second_fails(descriptor: int) -> Any:
        calls.append(descriptor)
        if len(calls) == 2:
            raise OSError(errno.EIO, "Input/output error")
        return sync(descriptor)

    monkeypatch.setattr(os, "fsync", second_fails)
    with pytest.raises(OSError):
        file.store(new)
    monkeypatch.undo()
    assert file.load() in (old, new)
    newer = AcceptorState(FIRST_IDENTITY, (10, "n0"), NONE, first_state(VOTERS))
    file.store(newer)
    assert file.load() == newer


def test_a_write_that_is_cut_at_any_byte_by_a_kill_leaves_the_old_file(tmp_path: Path) -> None:
    file = MaintenanceVoterFile(str(tmp_path), "n0", "lab")
    file.begin(VOTERS)
    old = file.load()
    new = AcceptorState(FIRST_IDENTITY, (9, "n0"), NONE, first_state(VOTERS))
    data = file.codec.encode(new, file.owner, file.cluster)
    for length in range(0, len(data), 7):
        file.path.with_name(f"{file.path.name}.new").write_bytes(data[:length])
        assert MaintenanceVoterFile(str(tmp_path), "n0", "lab").load() == old
    file.store(new)
    assert file.load() == new
