"""Public names of version 0.1.0 are importable for one more version, with a warning that has the current name."""

from __future__ import annotations

import importlib

import pytest

from tests.helpers import settings
from yarrowspindle import interface, library
from yarrowspindle.routing.reducer import Reducer
from yarrowspindle.runtime.runtime import Runtime
from yarrowspindle.runtime.timers import SystemClock, Timers

LIBRARY = ("Closing", "Ending", "JobClass", "Machine", "NodeDropped", "Refused")


@pytest.mark.parametrize("name", LIBRARY)
def test_an_old_name_of_the_library_is_importable_with_a_warning(name: str) -> None:
    with pytest.warns(DeprecationWarning, match=f"library.{name} is now called"):
        found = getattr(library, name)
    assert found is library._DEPRECATED[name][0] and library._DEPRECATED[name][1] in library.__all__


def test_the_old_members_of_ending_are_the_reasons_of_today() -> None:
    with pytest.warns(DeprecationWarning):
        ending = library.Ending
    names = [name for name in vars(ending) if name.isupper()]
    assert {getattr(ending, name) for name in names} == set(library.TerminationReason)


@pytest.mark.parametrize("name", interface._CURRENT)
def test_an_old_name_of_the_balancers_interface_is_importable_with_a_warning(name: str) -> None:
    module, current = interface._CURRENT[name]
    with pytest.warns(DeprecationWarning, match=f"interface.{name} is now yarrowspindle.decisions.{module}.{current}"):
        found = getattr(interface, name)
    assert found is getattr(importlib.import_module(f"yarrowspindle.decisions.{module}"), current)


def test_the_old_attribute_seen_is_the_list_of_event_observers_with_a_warning() -> None:
    clock = SystemClock()
    runtime = Runtime(Reducer(settings(), 1, clock.now()), clock, lambda level, text: None, Timers(clock))
    with pytest.warns(DeprecationWarning, match=r"Runtime\.seen is now called Runtime\.event_observers") as caught:
        observers = runtime.seen
    assert observers is runtime.event_observers
    assert [warning.filename for warning in caught] == [__file__]


def test_a_name_that_never_was_is_no_attribute() -> None:
    with pytest.raises(AttributeError):
        _ = library.Nothing
    with pytest.raises(AttributeError):
        _ = interface.Nothing
