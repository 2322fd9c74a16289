"""The file with the endpoint list of a relay."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from yarrowspindle.daemon.list_file import MAX_FILE_BYTES, EndpointListFile
from yarrowspindle.protocol.endpoint_list import ListError, ZoneAndKindNames
from yarrowspindle.protocol.shared_list import ListVersion, StoredList
from yarrowspindle.routing.events import Endpoint

ADDRESS = ("10.0.0.4", 3000)
NAMES = ZoneAndKindNames(["a"], ["m"])


def file_in(folder: Path, relay: str = "n3") -> EndpointListFile:
    return EndpointListFile(folder, relay, ADDRESS, NAMES)


def stored(numbering: int, number: int) -> StoredList:
    return StoredList(ListVersion(numbering, number), 1764950400000.0, [Endpoint("s-1", ("10.1.0.18", 3000))])


def test_a_stored_list_is_loaded(tmp_path: Path) -> None:
    with pytest.raises(FileNotFoundError):
        file_in(tmp_path).load()
    before = file_in(tmp_path).replacement()
    assert file_in(tmp_path).store(stored(0, 43))
    assert file_in(tmp_path).load() == stored(0, 43) and file_in(tmp_path).replacement() != before
    assert len(list(tmp_path.iterdir())) == 1, "no temporary file is left"


def test_a_newer_list_of_another_process_is_kept(tmp_path: Path) -> None:
    """Guard against a process that stores what it holds over what another one was told meanwhile."""
    assert file_in(tmp_path).store(stored(0, 44))
    assert not file_in(tmp_path).store(stored(0, 43))
    assert file_in(tmp_path).load_newer(ListVersion(0, 43)) == stored(0, 44)
    assert file_in(tmp_path).load_newer(ListVersion(0, 44)) is None
    assert file_in(tmp_path).store(stored(1, 2)), "discovery has begun its versions anew"
    assert file_in(tmp_path).load() == stored(1, 2)


def test_a_file_that_cannot_be_used_is_replaced(tmp_path: Path) -> None:
    assert file_in(tmp_path, "n4").store(stored(0, 99))
    assert file_in(tmp_path).load_newer(ListVersion()) is None
    assert file_in(tmp_path).store(stored(0, 43)) and file_in(tmp_path).load() == stored(0, 43)
    file_in(tmp_path).path.write_bytes(b" " * (MAX_FILE_BYTES + 1))
    with pytest.raises(ListError, match="longer than"):
        file_in(tmp_path).load()


def test_a_link_in_place_of_the_file_is_not_followed(tmp_path: Path) -> None:
    """Guard against a folder that other users can write."""
    file, target = file_in(tmp_path), tmp_path / "target"
    file_in(tmp_path).store(stored(0, 43))
    file.path.rename(target)
    file.path.symlink_to(target)
    with pytest.raises(OSError):
        file.load()
    assert file.store(stored(0, 1)) and file.load() == stored(0, 1), "the link is replaced, not its target"


def test_a_failed_store_leaves_the_former_list(tmp_path: Path) -> None:
    file = file_in(tmp_path)
    file.store(stored(0, 43))
    (tmp_path / f"{file.path.name}.{os.getpid()}.new").mkdir()
    with pytest.raises(OSError):
        file.store(stored(0, 44))
    assert file.load() == stored(0, 43)
