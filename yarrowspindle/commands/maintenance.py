"""`python -m yarrowspindle turns ...`: the operators' commands for maintenance, sent to one relay over loopback."""

from __future__ import annotations

import json
from typing import Any

import click

from yarrowspindle.commands import api_client
from yarrowspindle.daemon.config import load_config
from yarrowspindle.daemon.operator_config import load_operator_config
from yarrowspindle.daemon.voter_file import MaintenanceVoterFile
from yarrowspindle.maintenance.settings import ORDERS
from yarrowspindle.maintenance.status_report import format_table
from yarrowspindle.storage.durable_file import FileUnavailableError

PENDING_NOTICE = " (this relay is not registered yet: the command is carried out once a majority answers)"


def call_relay(address: str | None, method: str, path: str, parameters: dict[str, Any] | None = None) -> Any:
    """Return the relay's response. Without `address`, the `--at` option, the operator's file gives the address."""
    settings = load_operator_config().turns if address is None else None
    configured = settings.command if settings else None
    resolved = api_client.resolve_address(address, configured, "turns.command")
    return api_client.call(resolved, "relay", method, path, parameters)


def send_command(context: click.Context, command: str, /, **parameters: Any) -> None:
    """Send a command with the parameters that are not None, and print its result."""
    given = {key: value for key, value in parameters.items() if value is not None}
    answer = call_relay(context.obj, "PUT", f"/turns/{command}", given)
    pending = "" if answer["registered"] else PENDING_NOTICE
    click.echo(f"{command}: {answer['done']}{pending}")


@click.group(help="Machines out for work, in turns that the relays agree on.")
@click.option("--at", metavar="ADDRESS", help="a relay's turns.command; else as the operator's file says")
@click.pass_context
def turns(context: click.Context, at: str | None) -> None:
    """Pass the address of the relay to the commands."""
    context.obj = at


@turns.command(help="Take machines out for work, one after the other.")
@click.argument("machines", nargs=-1)
@click.option("--zone", help="all machines of a zone")
@click.option("--kind", help="all machines of a kind")
@click.option("--most", type=click.IntRange(1), help="out at once (1)")
@click.option("--most-zone", type=click.IntRange(1), help="out at once of one zone (1)")
@click.option("--floor", type=click.FloatRange(0.0), help="ready capacity that must stay, in units of the list (0)")
@click.option("--deadline", "deadline_s", type=click.FloatRange(0.0, min_open=True), help="seconds to empty one (120)")
@click.option("--order", type=click.Choice(ORDERS), help="which goes first (given)")
@click.option("--name", help="tells requests apart that are alike")
@click.pass_context
def ask(context: click.Context, /, machines: tuple[str, ...], **limits: Any) -> None:
    """Queue a request."""
    send_command(context, "ask", machines=list(machines) or None, **limits)


@turns.command("show", help="The queue, who is out, and what each waits for.")
@click.option("--json", "as_json", is_flag=True)
@click.pass_context
def show(context: click.Context, as_json: bool) -> None:
    """Print the status."""
    status = call_relay(context.obj, "GET", "/turns")
    click.echo(json.dumps(status) if as_json else format_table(status))


def add_command_with_argument(name: str, argument: str, help_text: str) -> None:
    """Add a command whose only argument is a parameter of the call."""

    @turns.command(name, help=help_text)
    @click.argument(argument)
    @click.pass_context
    def command(context: click.Context, /, **parameters: Any) -> None:
        send_command(context, name, **parameters)


add_command_with_argument("cancel", "request", "Start nothing more of a request; what has not emptied yet goes back.")
add_command_with_argument("unvote", "relay", "Take a voter out; one at a time.")


def add_evacuation_command(name: str, help_text: str) -> None:
    """Add a command for one backend, optionally limited to the evacuation with this number."""

    @turns.command(name, help=help_text)
    @click.argument("machine")
    @click.option("--turn", type=int, help="only if it is out by this turn")
    @click.pass_context
    def command(context: click.Context, machine: str, turn: int | None) -> None:
        send_command(context, name, machine=machine, turn=turn)


add_evacuation_command("done", "The work on a free machine is over: place on it again.")
add_evacuation_command("give-up", "A machine does not come back: wait for it no longer.")


@turns.command(help="Say that a relay has ended for good. If it has not, a machine may be worked on while it is used.")
@click.argument("relay")
@click.option("--force", is_flag=True, help="though it answers")
@click.pass_context
def ended(context: click.Context, relay: str, force: bool) -> None:
    """Declare a relay ended."""
    send_command(context, "ended", relay=relay, force=force or None)


@turns.command(help="Grant no turns, and give back what has not emptied.")
@click.argument("why", default="")
@click.pass_context
def pause(context: click.Context, why: str) -> None:
    """Pause maintenance."""
    send_command(context, "pause", why=why or None)


@turns.command(help="Go on after a pause.")
@click.pass_context
def resume(context: click.Context) -> None:
    """End a pause."""
    send_command(context, "resume")


@turns.command(help="Make the relay that is asked a voter.")
@click.pass_context
def vote(context: click.Context) -> None:
    """Make the relay a voter."""
    send_command(context, "vote")


@turns.command(help="Make this relay's first voter's file: once, before the first start of all; never after a loss.")
def init() -> None:
    """Create the first voter file."""
    config, operator = load_config(), load_operator_config()
    if operator.turns is None or operator.peers is None:
        raise click.ClickException("the operator's file has no section [turns]")
    file = MaintenanceVoterFile(operator.turns.directory, operator.peers.name or config.name, operator.peers.cluster)
    try:
        file.initialize(operator.turns.voters)
    except (FileUnavailableError, OSError) as error:
        raise click.ClickException(str(error)) from error
    click.echo(f"created {file.path} for {file.owner}")


def main(arguments: list[str]) -> int:
    """Run the command line and return its exit status."""
    return api_client.run_command(turns, arguments, "turns")
