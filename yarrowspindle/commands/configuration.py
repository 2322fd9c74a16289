"""`python -m yarrowspindle control ...`: operators change what all relays serve by, at one controller."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import click

from yarrowspindle.commands.api_client import call, resolve_address, run_command
from yarrowspindle.configuration.settings import CONTROLLER, ControlSettings
from yarrowspindle.daemon.config import load_operator
from yarrowspindle.daemon.controller import file_of, first_state
from yarrowspindle.daemon.shared_settings import shared_of, text_of
from yarrowspindle.storage.durable_file import FileUnavailableError

ANSWER_S, POLL_S = 12.0, 0.05


def settings() -> ControlSettings | None:
    return load_operator().control


def ask(at: str | None, method: str, path: str, told: dict[str, Any] | None = None) -> Any:
    known = settings() if at is None else None
    return call(
        resolve_address(at, known.command if known else None, "control.command"), "controller", method, path, told
    )


def change(at: str | None, step: dict[str, str | None]) -> None:
    """Until it is settled: agreed on by a majority of the voters, or turned down."""
    ticket = ask(at, "PUT", "/control/change", {"step": step})["ticket"]
    until = time.monotonic() + ANSWER_S
    while time.monotonic() < until:
        found = ask(at, "PUT", "/control/answer", {"ticket": ticket})
        if found["settled"]:
            if not found["version"]:
                raise click.ClickException(found["error"])
            click.echo(f"version {found['version']} is agreed on: {', '.join(sorted(step))}")
            return
        time.sleep(POLL_S)
    raise click.ClickException(f"no answer within {ANSWER_S:g} s: it may still come, see `show`")


@click.group(help="Settings that all relays serve by, agreed on by the controllers.")
@click.option("--at", metavar="ADDRESS", help="a controller's control.command; else as the operator's file says")
@click.pass_context
def control(context: click.Context, at: str | None) -> None:
    context.obj = at


def no_number(text: str) -> float:
    raise ValueError(f"{text} is no number")


@control.command("set", help="Replace members of the settings, all at once.")
@click.argument("changes", nargs=-1, required=True, metavar="KEY=JSON...")
@click.pass_context
def set_(context: click.Context, changes: tuple[str, ...]) -> None:
    step: dict[str, str | None] = {}
    for one in changes:
        key, equals, value = one.partition("=")
        if not key or not equals or key in step:
            raise click.BadParameter(f"{one!r}: each key once, as KEY=JSON, is wanted")
        try:
            step[key] = text_of(json.loads(value, parse_constant=no_number))
        except (ValueError, RecursionError) as error:
            raise click.BadParameter(f"the value of {key} is no JSON: {error}") from error
    change(context.obj, step)


@control.command(help="Remove members. Without any left each relay serves by its own file.")
@click.argument("keys", nargs=-1)
@click.option("--all", "everything", is_flag=True, help="all members")
@click.pass_context
def unset(context: click.Context, keys: tuple[str, ...], everything: bool) -> None:
    if bool(keys) is everything:
        raise click.UsageError("keys, or --all, are wanted")
    found = ask(context.obj, "GET", "/control")["entries"] if everything else keys
    if not found:
        raise click.ClickException("there are no entries")
    change(context.obj, dict.fromkeys(found))


@control.command(help="Make the settings those of a platform's configuration file, or of a file with `settings` alone.")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.pass_context
def load(context: click.Context, file: Path) -> None:
    try:
        data = json.loads(file.read_text(encoding="utf-8"), parse_constant=no_number)
        found = data.get("settings", data)
        wanted, own, unread = shared_of(found)
    except (OSError, ValueError, RecursionError, AttributeError) as error:
        raise click.ClickException(f"{file} holds no settings: {error}") from error
    for left_out, why in ((own, "each relay's own"), (unread, "not read by the program")):
        if left_out:
            click.echo(f"left out, {why}: {', '.join(left_out)}")
    if not wanted:
        raise click.ClickException(f"{file} holds no settings that can be shared")
    have = ask(context.obj, "GET", "/control")["entries"]
    step: dict[str, str | None] = {
        key: value for key, value in wanted.items() if key not in have or json.loads(have[key]) != json.loads(value)
    }
    step |= dict.fromkeys(have.keys() - wanted.keys())
    if step:
        change(context.obj, step)
    else:
        click.echo("nothing differs from what is served")


@control.command(help="What is agreed on, where it is in force, and who is behind.")
@click.option("--json", "as_json", is_flag=True)
@click.pass_context
def show(context: click.Context, as_json: bool) -> None:
    found = ask(context.obj, "GET", "/control")
    click.echo(json.dumps(found) if as_json else table(found))


def table(shown: dict[str, Any]) -> str:
    lines = [
        f"version {shown['version']} is agreed on, {shown['in_force']} is in force at {shown['relays']} relays "
        f"(asked: {shown['name']} of cluster {shown['cluster']})"
    ]
    for key, value in sorted(shown["entries"].items()):
        lines.append(f"  {key} = {value if len(value) <= 80 else value[:77] + '...'}")
    if not shown["entries"]:
        lines.append("  no entries: each relay serves by its own file")
    for one in shown["named"]:
        lines.append(
            f"relay {one['relay']} serves by version {one['version']}, for {one['for_s']:.1f} s: {one['why']} "
            f"(at {one['controller']})"
        )
    if shown["more"]:
        lines.append(f"and {shown['more']} more relays")
    for name, one in sorted(shown["controllers"].items()):
        silent = f"SILENT for {one['silent_s']:.1f} s" if one["silent_s"] > 1.0 else "heard"
        votes = ", votes" if name in shown["voters"] else ""
        lines.append(f"controller {name}: {silent}, version {one['version']}, {one['relays']} relays{votes}")
    if shown["round"]:
        lines.append(f"agreeing fails: {shown['round']}")
    lines += [f"version {one['version']} was refused: {one['why']}" for one in shown["refused"]]
    return "\n".join(lines)


@control.command(help="Make this voter's first file: once, before the first start of all; never after a loss.")
def init() -> None:
    known = settings()
    if known is None or known.role != CONTROLLER:
        raise click.ClickException("the operator's file has no [control] of a controller")
    file = file_of(known)
    try:
        file.create_initial(first_state(known))
    except (FileUnavailableError, OSError) as error:
        raise click.ClickException(str(error)) from error
    click.echo(f"{file.path} is made for {file.owner}")


def main(arguments: list[str]) -> int:
    return run_command(control, arguments, "control")
