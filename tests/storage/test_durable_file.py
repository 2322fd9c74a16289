"""Durable files: what is loaded, and what remains after a disk failure."""

from __future__ import annotations

import asyncio
import errno
import os
from pathlib import Path
from typing import Any

import pytest

from tests.daemon.test_maintenance_daemon import COLD, operator
from tests.maintenance.sample_state import VOTERS as SAMPLE_VOTERS
from tests.maintenance.sample_state import sample_state
from tests.ports import free_port
from tests.stand_ins import relay
from yarrowspindle.consensus.acceptor import AcceptorState
from yarrowspindle.consensus.messages import NO_BALLOT
from yarrowspindle.daemon.voter_file import MaintenanceVoterFile, initial_state
from yarrowspindle.storage.durable_file import FileUnavailableError
from yarrowspindle.storage.voter_file import INITIAL_IDENTITY

VOTERS = ("n0",)


def make_unreadable(path: Path) -> None:
    """Replace the file by a circular link, so that opening it fails."""
    path.rename(path.with_suffix(".aside"))
    path.symlink_to(path.name)


def make_readable(path: Path) -> None:
    path.unlink()
    path.with_suffix(".aside").rename(path)


def test_a_temporarily_unreadable_file_does_not_count_as_lost(tmp_path: Path) -> None:
    """Guard against recreating a voter file that is unreadable for a while.

    The voter would forget its promises and break them; a voter that waits for its disk only does not respond.
    """

    async def scenario() -> None:
        file = MaintenanceVoterFile(f"{tmp_path}/turns", "n0", "default")
        file.initialize(VOTERS)
        make_unreadable(file.path)
        with pytest.raises(OSError):
            file.load()
        async with relay(tmp_path, operator(tmp_path, free_port()), **COLD) as service:
            await service.next_log_line("cannot be read")
            assert (await (await service.open_request(deadline_ms=500)).read_line()).startswith("BUSY")
            make_readable(file.path)
            await service.next_log_line("has its voter's file")
            await service.established_connection()
        assert not list(file.directory.glob("*.bad"))

    asyncio.run(scenario())


def test_after_a_failed_directory_sync_the_old_or_the_new_content_is_complete(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """`store` has failed, so no promise was sent, and either content is correct."""
    file = MaintenanceVoterFile(str(tmp_path), "n0", "lab")
    file.initialize(VOTERS)
    old = file.load()
    new = AcceptorState(INITIAL_IDENTITY, (9, "n0"), NO_BALLOT, initial_state(VOTERS))
    sync, calls = os.fsync, []

    def fail_second_call(descriptor: int) -> Any:
        calls.append(descriptor)
        if len(calls) == 2:
            raise OSError(errno.EIO, "Input/output error")
        return sync(descriptor)

    monkeypatch.setattr(os, "fsync", fail_second_call)
    with pytest.raises(OSError):
        file.store(new)
    monkeypatch.undo()
    assert file.load() in (old, new)
    newer = AcceptorState(INITIAL_IDENTITY, (10, "n0"), NO_BALLOT, initial_state(VOTERS))
    file.store(newer)
    assert file.load() == newer


def test_a_kill_at_any_byte_of_a_write_leaves_the_old_content(tmp_path: Path) -> None:
    file = MaintenanceVoterFile(str(tmp_path), "n0", "lab")
    file.initialize(VOTERS)
    old = file.load()
    new = AcceptorState(INITIAL_IDENTITY, (9, "n0"), NO_BALLOT, initial_state(VOTERS))
    data = file.codec.encode(new, file.owner, file.cluster)
    for length in range(0, len(data), 7):
        file.path.with_name(f"{file.path.name}.new").write_bytes(data[:length])
        assert MaintenanceVoterFile(str(tmp_path), "n0", "lab").load() == old
    file.store(new)
    assert file.load() == new


def test_a_file_is_loaded_only_complete_and_only_by_its_owner(tmp_path: Path) -> None:
    file = MaintenanceVoterFile(str(tmp_path / "r0"), "r0", "lab")
    with pytest.raises(FileUnavailableError, match="the file does not exist"):
        file.load()
    file.initialize(SAMPLE_VOTERS)
    assert file.load() == AcceptorState(INITIAL_IDENTITY, NO_BALLOT, NO_BALLOT, initial_state(SAMPLE_VOTERS))
    with pytest.raises(FileUnavailableError, match="already exists"):
        file.initialize(SAMPLE_VOTERS)
    with pytest.raises(FileUnavailableError, match="is not one of the voters"):
        MaintenanceVoterFile(str(tmp_path / "r9"), "r9", "lab").initialize(SAMPLE_VOTERS)
    stored = AcceptorState(INITIAL_IDENTITY, (7, "r2"), (6, "r1"), sample_state())
    file.store(stored)
    assert file.load() == stored and not list(tmp_path.glob("r0/*.new"))
    complete = file.path.read_bytes()
    for invalid, reason in (
        (complete[:-3], "the file is truncated"),
        (complete.replace(b"machine-7", b"machine-8", 1), "checksum of the file does not match"),
        (b"", "the file is truncated"),
        (b"\xff" * 50, "the file is truncated"),
    ):
        file.path.write_bytes(invalid)
        with pytest.raises(FileUnavailableError, match=reason):
            file.load()
    file.path.write_bytes(complete)
    for other in (
        MaintenanceVoterFile(str(file.directory), "r1", "lab"),
        MaintenanceVoterFile(str(file.directory), "r0", "other"),
    ):
        with pytest.raises(FileUnavailableError, match="the file belongs to r0 of cluster lab"):
            other.load()


@pytest.mark.parametrize("call", ["write", "fsync", "replace"])
def test_a_failing_disk_leaves_the_old_content(tmp_path: Path, call: str, monkeypatch: pytest.MonkeyPatch) -> None:
    file = MaintenanceVoterFile(str(tmp_path), "r0", "lab")
    file.initialize(SAMPLE_VOTERS)

    def fail(*arguments: Any) -> Any:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, call, fail)
    with pytest.raises(OSError, match="No space"):
        file.store(AcceptorState(INITIAL_IDENTITY, (9, "r0"), NO_BALLOT, initial_state(SAMPLE_VOTERS)))
    monkeypatch.undo()
    assert file.load().promised == NO_BALLOT


def test_only_one_process_has_the_lock(tmp_path: Path) -> None:
    first = MaintenanceVoterFile(str(tmp_path), "r0", "lab")
    second = MaintenanceVoterFile(str(tmp_path), "r0", "lab")
    assert first.acquire_lock() and first.acquire_lock() and not second.acquire_lock()
    os.close(first.lock_descriptor)
    assert second.acquire_lock()
