"""The client of the operators' API that the commands share: a call over HTTP, and the exit statuses."""

from __future__ import annotations

import http.client
import json
import sys
from typing import Any

import click

from yarrowspindle.daemon.config import ConfigError
from yarrowspindle.routing.address import Address

TIMEOUT_S = 5.0
EXIT_FAILURE = 1
EXIT_USAGE = 2


def resolve_address(option: str | None, configured: Address | None, key: str) -> Address:
    """Return the address of the API: that of the `--at` option, else the configured one.

    Raise click.ClickException if neither is given, and click.BadParameter if the option is invalid. `key` is the key
    of the configured address for the error message.
    """
    if option is None:
        if configured is None:
            raise click.ClickException(f"the operator's file has no {key}; give the address with --at")
        return configured
    host, _, port = option.rpartition(":")
    if not host or not port.isdigit():
        raise click.BadParameter(
            f"{option!r} is not an address; expected HOST:PORT, such as 127.0.0.1:7950", param_hint="--at"
        )
    return host, int(port)


def call(address: Address, server: str, method: str, path: str, parameters: dict[str, Any] | None = None) -> Any:
    """Return the decoded JSON response. `server` is the kind of process for error messages.

    Raise click.ClickException if there is no response, or if it reports an error.
    """
    connection = http.client.HTTPConnection(*address, timeout=TIMEOUT_S)
    try:
        connection.request(method, path, json.dumps(parameters) if parameters is not None else None)
        response = connection.getresponse()
        text = response.read().decode()
    except (OSError, http.client.HTTPException) as error:
        host, port = address
        raise click.ClickException(f"the {server} at {host}:{port} does not answer: {error}") from error
    finally:
        connection.close()
    try:
        decoded = json.loads(text)
    except ValueError:
        raise click.ClickException(
            f"the {server} responded with status {response.status}, not JSON: {text.strip()}"
        ) from None
    if response.status != http.client.OK:
        raise click.ClickException(str(decoded.get("error", text)))
    return decoded


def run_command(group: click.Group, arguments: list[str], name: str) -> int:
    """Run a command line and return its exit status: 0, EXIT_FAILURE or EXIT_USAGE."""
    try:
        group.main(arguments, prog_name=f"python -m yarrowspindle {name}", standalone_mode=False)
    except click.ClickException as error:
        error.show(sys.stderr)
        return EXIT_USAGE if isinstance(error, click.UsageError) else EXIT_FAILURE
    except click.Abort:
        return EXIT_FAILURE
    except ConfigError as error:
        print(f"Error: {error}", file=sys.stderr)
        return EXIT_USAGE
    return 0
