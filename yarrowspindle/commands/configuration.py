"""`python -m yarrowspindle control ...`: operators' commands for the shared settings, sent to one controller."""

from __future__ import annotations

import json
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import click

from yarrowspindle.commands.api_client import call, resolve_address, run_command
from yarrowspindle.configuration.settings import CONTROLLER, ControlSettings
from yarrowspindle.configuration.state import Step
from yarrowspindle.daemon.controller_files import acceptor_file, initial_state
from yarrowspindle.daemon.operator_config import load_operator_config
from yarrowspindle.daemon.shared_settings import PlatformSettings, entry_value, read_platform_settings
from yarrowspindle.storage.durable_file import FileUnavailableError

ANSWER_TIMEOUT_S = 12.0
POLL_INTERVAL_S = 0.05
MAX_SHOWN_VALUE_CHARACTERS = 80
ELLIPSIS = "..."
SILENT_AFTER_S = 1.0  # time without a summary from a controller after which it is shown as silent


def configured_settings() -> ControlSettings | None:
    """Return the section `[control]` of the operator's file, or None if there is none."""
    return load_operator_config().control


def call_controller(at: str | None, method: str, path: str, body: dict[str, Any] | None = None) -> Any:
    """Call the controller at `at`, else at the address in the operator's file. Raise ClickException."""
    settings = configured_settings() if at is None else None
    address = resolve_address(at, settings.command if settings else None, "control.command")
    return call(address, "controller", method, path, body)


def request_change(at: str | None, step: Step) -> None:
    """Request a change and wait until it is committed. Raise ClickException if it is rejected."""
    ticket = call_controller(at, "PUT", "/control/change", {"step": step})["ticket"]
    deadline = time.monotonic() + ANSWER_TIMEOUT_S
    while time.monotonic() < deadline:
        answer = call_controller(at, "PUT", "/control/answer", {"ticket": ticket})
        if answer["settled"]:
            if not answer["version"]:
                raise click.ClickException(answer["error"])
            click.echo(f"version {answer['version']} is agreed on: {', '.join(sorted(step))}")
            return
        time.sleep(POLL_INTERVAL_S)
    raise click.ClickException(
        f"no result within {ANSWER_TIMEOUT_S:g} s; the change may still be committed, see `control show`"
    )


def reject_constant(text: str) -> float:
    """Reject NaN and the infinities, which JSON does not have. Raise ValueError."""
    raise ValueError(f"{text} is not a number in JSON")


@click.group(help="Settings that all relays serve by, agreed on by the controllers.")
@click.option("--at", metavar="ADDRESS", help="a controller's control.command; else as the operator's file says")
@click.pass_context
def control(context: click.Context, at: str | None) -> None:
    """Pass the address of the controller to the commands."""
    context.obj = at


@control.command("set", help="Replace members of the settings, all at once.")
@click.argument("changes", nargs=-1, required=True, metavar="KEY=JSON...")
@click.pass_context
def set_(context: click.Context, changes: tuple[str, ...]) -> None:
    """Set the given members in one change."""
    step: dict[str, str | None] = {}
    for change in changes:
        key, separator, value = change.partition("=")
        if not key or not separator or key in step:
            raise click.BadParameter(f"{change!r} is invalid; expected KEY=JSON, each key once")
        try:
            step[key] = entry_value(json.loads(value, parse_constant=reject_constant))
        except (ValueError, RecursionError) as error:
            raise click.BadParameter(f"the value of {key} is not JSON: {error}") from error
    request_change(context.obj, step)


@control.command(help="Remove members. Without any left each relay serves by its own file.")
@click.argument("keys", nargs=-1)
@click.option("--all", "everything", is_flag=True, help="all members")
@click.pass_context
def unset(context: click.Context, keys: tuple[str, ...], everything: bool) -> None:
    """Remove the given members, or all, in one change."""
    if bool(keys) is everything:
        raise click.UsageError("expected either keys or --all")
    removed = call_controller(context.obj, "GET", "/control")["entries"] if everything else keys
    if not removed:
        raise click.ClickException("there are no entries to remove")
    request_change(context.obj, dict.fromkeys(removed))


@control.command(help="Make the settings those of a platform's configuration file, or of a file with `settings` alone.")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.pass_context
def load(context: click.Context, file: Path) -> None:
    """Set or remove all members that differ from the file, in one change."""
    platform = read_file(file)
    for members, reason in (
        (platform.relay_specific, "specific to each relay"),
        (platform.unrecognized, "unknown to the program"),
    ):
        if members:
            click.echo(f"left out, {reason}: {', '.join(members)}")
    if not platform.entries:
        raise click.ClickException(f"{file} has no settings that can be shared")
    current = call_controller(context.obj, "GET", "/control")["entries"]
    step = difference(current, platform.entries)
    if step:
        request_change(context.obj, step)
    else:
        click.echo("nothing differs from the committed settings")


def read_file(file: Path) -> PlatformSettings:
    """Read a platform's file. Raise ClickException if it has no settings."""
    try:
        data = json.loads(file.read_text(encoding="utf-8"), parse_constant=reject_constant)
        return read_platform_settings(data.get("settings", data))
    except (OSError, ValueError, RecursionError, AttributeError) as error:
        raise click.ClickException(f"{file} has no readable settings: {error}") from error


def difference(current: Mapping[str, str], wanted: Mapping[str, str]) -> dict[str, str | None]:
    """Return the changes that turn the current into the wanted entries; values are compared as JSON."""
    step: dict[str, str | None] = {
        key: value
        for key, value in wanted.items()
        if key not in current or json.loads(current[key]) != json.loads(value)
    }
    return step | dict.fromkeys(current.keys() - wanted.keys())


@control.command(help="What is agreed on, where it is in force, and who is behind.")
@click.option("--json", "as_json", is_flag=True)
@click.pass_context
def show(context: click.Context, as_json: bool) -> None:
    """Print the status of a controller."""
    status = call_controller(context.obj, "GET", "/control")
    click.echo(json.dumps(status) if as_json else status_table(status))


def status_table(status: dict[str, Any]) -> str:
    """Return the status as lines of text."""
    lines = [
        f"version {status['version']} is agreed on, {status['in_force']} is in force at {status['relays']} relays "
        f"(asked: {status['name']} of cluster {status['cluster']})"
    ]
    lines += [f"  {key} = {shortened(value)}" for key, value in sorted(status["entries"].items())]
    if not status["entries"]:
        lines.append("  no entries: each relay serves by its own file")
    lines += [relay_line(relay) for relay in status["named"]]
    if status["more"]:
        lines.append(f"and {status['more']} more relays")
    for name, controller in sorted(status["controllers"].items()):
        lines.append(controller_line(name, controller, name in status["voters"]))
    if status["round"]:
        lines.append(f"consensus fails: {status['round']}")
    lines += [f"version {rejected['version']} was rejected: {rejected['why']}" for rejected in status["refused"]]
    return "\n".join(lines)


def shortened(value: str) -> str:
    """Return the value, cut to at most MAX_SHOWN_VALUE_CHARACTERS."""
    if len(value) <= MAX_SHOWN_VALUE_CHARACTERS:
        return value
    return value[: MAX_SHOWN_VALUE_CHARACTERS - len(ELLIPSIS)] + ELLIPSIS


def relay_line(relay: dict[str, Any]) -> str:
    """Return the line of a relay that has not applied the committed version."""
    return (
        f"relay {relay['relay']} serves by version {relay['version']}, for {relay['for_s']:.1f} s: {relay['why']} "
        f"(at {relay['controller']})"
    )


def controller_line(name: str, controller: dict[str, Any], is_voter: bool) -> str:
    """Return the line of a controller."""
    silent_s = controller["silent_s"]
    health = f"SILENT for {silent_s:.1f} s" if silent_s > SILENT_AFTER_S else "heard"
    votes = ", votes" if is_voter else ""
    return f"controller {name}: {health}, version {controller['version']}, {controller['relays']} relays{votes}"


@control.command(help="Make this voter's first file: once, before the first start of all; never after a loss.")
def init() -> None:
    """Create the file of this controller's acceptor."""
    settings = configured_settings()
    if settings is None or settings.role != CONTROLLER:
        raise click.ClickException("the operator's file has no [control] section with the role of a controller")
    file = acceptor_file(settings)
    try:
        file.create_initial(initial_state(settings))
    except (FileUnavailableError, OSError) as error:
        raise click.ClickException(str(error)) from error
    click.echo(f"created {file.path} for {file.owner}")


def main(arguments: list[str]) -> int:
    """Run a command. Return the exit status: 1 if it fails, 2 for invalid arguments."""
    return run_command(control, arguments, "control")
