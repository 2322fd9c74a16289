"""Calls to sinks and callbacks come last in the methods of a transport, as any of them may end the connection.

Methods with code after such a call are listed in RECHECKS_STATE, with the reason why that code is safe.
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import yarrowspindle.operator_api
import yarrowspindle.transport

FOLDERS = [Path(package.__path__[0]) for package in (yarrowspindle.transport, yarrowspindle.operator_api)]
CALLBACKS = frozenset(("on_datagram", "on_refused", "failed", "protocol_factory", "make_room", "_callback", "call"))
SAFE_METHODS = frozenset(("ready", "log_warning"))  # methods of sinks that only return a value or log

# Why the code after a call is safe, by method.
RECHECKS_STATE = {
    "BackendConnection._report": "checks `closing` before each report",
    "BackendConnection.connection_lost": "`_end` checks whether the end was reported",
    "ClientConnection._on_first_line_timeout": "sets the timer only if nothing was reported",
    "ClientConnection.connection_lost": "has cleared its transport, and only reports to the sink",
    "HealthCheckConnection.data_received": "checks `ended` before each report",
    "WatchConnection.data_received": "checks `ended` before each report and each timer",
    "Listener._ready": "only `close` ends the listener, and no call leads to it",
    "Listener._accept": "as for `Listener._ready`",
    "Listener._accept_batch": "as for `Listener._ready`",
    "Call.on_message_complete": "`answer` checks whether the call is done or its transport is closing",
}


def methods() -> Iterator[tuple[str, ast.FunctionDef | ast.AsyncFunctionDef]]:
    for folder in FOLDERS:
        for path in sorted(folder.glob("*.py")):
            for node in ast.parse(path.read_text(encoding="utf-8")).body:
                if isinstance(node, ast.ClassDef):
                    for item in node.body:
                        if isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef):
                            yield node.name, item


def own_calls(node: ast.AST) -> Iterator[str]:
    """Yield the names of the object's own methods that the code calls, and "out" for each call out of the object."""
    for call in ast.walk(node):
        if not isinstance(call, ast.Call):
            continue
        called = ast.unparse(call.func).split(".")
        if called[:2] == ["self", "sink"] and called[2] not in SAFE_METHODS:
            yield "out"
        elif len(called) == 2 and called[0] == "self":
            yield "out" if called[1] in CALLBACKS else called[1]
        elif len(called) == 1 and called[0] in CALLBACKS:
            yield "out"


def methods_calling_out(cls: str) -> set[str]:
    """Return the methods of a class that call out, directly or through other methods."""
    calls = {method.name: set(own_calls(method)) for owner, method in methods() if owner == cls}
    found = {"out"}
    while added := {name for name, called in calls.items() if called & found} - found:
        found |= added
    return found


def calls_out_with_successor(block: list[ast.stmt], last: bool, out: set[str]) -> Iterator[ast.stmt]:
    """Yield statements that call out and are followed by more than a return; `last`: nothing follows the block."""
    for position, statement in enumerate(block):
        rest = block[position + 1 :]
        is_last = last and all(isinstance(after, ast.Return) and not set(own_calls(after)) for after in rest)
        is_last = is_last or (bool(rest) and isinstance(rest[0], ast.Return) and not set(own_calls(rest[0])))
        yield from nested_calls_out_with_successor(statement, is_last, out)


def nested_calls_out_with_successor(statement: ast.stmt, is_last: bool, out: set[str]) -> Iterator[ast.stmt]:
    if isinstance(statement, ast.If):
        yield from (statement for _ in set(own_calls(statement.test)) & out)
        yield from calls_out_with_successor(statement.body, is_last, out)
        yield from calls_out_with_successor(statement.orelse, is_last, out)
    elif isinstance(statement, ast.For | ast.While | ast.AsyncFor):
        yield from calls_out_with_successor(statement.body, False, out)
    elif isinstance(statement, ast.With | ast.AsyncWith):
        yield from calls_out_with_successor(statement.body, is_last, out)
    elif isinstance(statement, ast.Try):
        yield from calls_out_with_successor(
            statement.body, is_last and not statement.orelse and not statement.finalbody, out
        )
        for handler in statement.handlers:
            yield from calls_out_with_successor(handler.body, is_last and not statement.finalbody, out)
        yield from calls_out_with_successor(statement.orelse, is_last and not statement.finalbody, out)
    elif isinstance(statement, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
        return
    elif set(own_calls(statement)) & out and not is_last and not isinstance(statement, ast.Return):
        yield statement


def test_callbacks_come_last_or_state_is_rechecked_afterwards() -> None:
    """Guard against using a connection after a call that may have ended it: resets overtook the MOVE line."""
    found: dict[str, list[str]] = {}
    for cls, method in methods():
        for statement in calls_out_with_successor(method.body, True, methods_calling_out(cls)):
            found.setdefault(f"{cls}.{method.name}", []).append(f"{statement.lineno}: {ast.unparse(statement)}")
    assert found.keys() == RECHECKS_STATE.keys(), {
        name: found.get(name) for name in found.keys() ^ RECHECKS_STATE.keys()
    }
