"""Configuration of pytest that must precede the import of any test module."""

import gc
from collections.abc import Generator

import pytest

# By default pytest rewrites only the asserts of test modules; without this, a failure in a helper would not show the
# values compared.
pytest.register_assert_rewrite("tests.stand_ins", "tests.quic_stand_ins")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(call: pytest.CallInfo[None]) -> Generator[None, object, object]:
    """Format a failure without garbage collection.

    A stream that a test has left open fails in its destructor, whose traceback is parsed. In CPython 3.11.6 that breaks
    a parse during which it happens (SystemError, "AST constructor recursion depth mismatch"), and pytest ends.
    """
    if call.excinfo is None:
        return (yield)
    gc.disable()
    try:
        return (yield)
    finally:
        gc.enable()


@pytest.hookimpl(wrapper=True)
def pytest_terminal_summary() -> Generator[None, object, object]:
    """Collect before the summary, which imports modules; see `pytest_runtest_makereport`."""
    gc.collect()
    return (yield)
