"""What the operators' commands have in common: one call over loopback, and how a command ends."""

from __future__ import annotations

import http.client
import json
import sys
from typing import Any

import click

from yarrowspindle.daemon.config import ConfigError
from yarrowspindle.routing.address import Address

WITHIN_S = 5.0


def address(at: str | None, configured: Address | None, key: str) -> Address:
    """at: as the operator typed it; else as the operator's file has it under this key."""
    if at is None:
        if configured is None:
            raise click.ClickException(f"the operator's file has no {key}; name the address with --at")
        return configured
    host, _, number = at.rpartition(":")
    if not host or not number.isdigit():
        raise click.BadParameter(f"{at!r} is no address like 127.0.0.1:7950", param_hint="--at")
    return host, int(number)


def call(to: Address, whom: str, method: str, path: str, told: dict[str, Any] | None = None) -> Any:
    """whom: for what is said of it."""
    connection = http.client.HTTPConnection(*to, timeout=WITHIN_S)
    try:
        connection.request(method, path, json.dumps(told) if told is not None else None)
        answer = connection.getresponse()
        text = answer.read().decode()
    except (OSError, http.client.HTTPException) as error:
        raise click.ClickException(f"the {whom} at {to[0]}:{to[1]} does not answer: {error}") from error
    finally:
        connection.close()
    try:
        found = json.loads(text)
    except ValueError:
        raise click.ClickException(f"the {whom} said {answer.status} {text.strip()}") from None
    if answer.status != 200:
        raise click.ClickException(str(found.get("error", text)))
    return found


def run(group: click.Group, arguments: list[str], name: str) -> int:
    """The exit status: 1 where the answer is no, 2 for wrong words."""
    try:
        group.main(arguments, prog_name=f"python -m yarrowspindle {name}", standalone_mode=False)
    except click.ClickException as error:
        error.show(sys.stderr)
        return 2 if isinstance(error, click.UsageError) else 1
    except click.Abort:
        return 1
    except ConfigError as error:
        print(f"Error: {error}", file=sys.stderr)
        return 2
    return 0
