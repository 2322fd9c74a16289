"""`python -m yarrowspindle turns ...`: operators ask one relay, on its loopback address."""

from __future__ import annotations

import json
from typing import Any

import click

from yarrowspindle.commands import api_client as calls
from yarrowspindle.daemon.config import load_config
from yarrowspindle.daemon.operator_config import load_operator
from yarrowspindle.daemon.voter_file import MaintenanceVoterFile
from yarrowspindle.maintenance.settings import ORDERS
from yarrowspindle.maintenance.status_report import format_table
from yarrowspindle.storage.durable_file import FileUnavailableError


def call(at: str | None, method: str, path: str, told: dict[str, Any] | None = None) -> Any:
    known = load_operator().turns if at is None else None
    return calls.call(calls.address(at, known.command if known else None, "turns.command"), "relay", method, path, told)


def put(context: click.Context, what: str, **told: Any) -> None:
    found = call(context.obj, "PUT", f"/turns/{what}", {k: v for k, v in told.items() if v is not None})
    later = "" if found["registered"] else " (this relay is not registered yet: it is done once a majority is heard)"
    click.echo(f"{what}: {found['done']}{later}")


@click.group(help="Machines out for work, in turns that the relays agree on.")
@click.option("--at", metavar="ADDRESS", help="a relay's turns.command; else as the operator's file says")
@click.pass_context
def turns(context: click.Context, at: str | None) -> None:
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
def ask(context: click.Context, /, machines: tuple[str, ...], **more: Any) -> None:
    put(context, "ask", machines=list(machines) or None, **more)


@turns.command("show", help="The queue, who is out, and what each waits for.")
@click.option("--json", "as_json", is_flag=True)
@click.pass_context
def show_(context: click.Context, as_json: bool) -> None:
    found = call(context.obj, "GET", "/turns")
    click.echo(json.dumps(found) if as_json else format_table(found))


def about(name: str, what: str, text: str) -> None:
    """A command that speaks of one thing."""

    @turns.command(name, help=text)
    @click.argument(what)
    @click.pass_context
    def command(context: click.Context, /, **told: Any) -> None:
        put(context, name, **told)


about("cancel", "request", "Start nothing more of a request; what has not emptied yet goes back.")
about("unvote", "relay", "Take a voter out; one at a time.")


def of_turn(name: str, text: str) -> None:
    @turns.command(name, help=text)
    @click.argument("machine")
    @click.option("--turn", type=int, help="only if it is out by this turn")
    @click.pass_context
    def command(context: click.Context, machine: str, turn: int | None) -> None:
        put(context, name, machine=machine, turn=turn)


of_turn("done", "The work on a free machine is over: place on it again.")
of_turn("give-up", "A machine does not come back: wait for it no longer.")


@turns.command(help="Say that a relay has ended for good. If it has not, a machine may be worked on while it is used.")
@click.argument("relay")
@click.option("--force", is_flag=True, help="though it answers")
@click.pass_context
def ended(context: click.Context, relay: str, force: bool) -> None:
    put(context, "ended", relay=relay, force=force or None)


@turns.command(help="Grant no turns, and give back what has not emptied.")
@click.argument("why", default="")
@click.pass_context
def pause(context: click.Context, why: str) -> None:
    put(context, "pause", why=why or None)


@turns.command(help="Go on after a pause.")
@click.pass_context
def resume(context: click.Context) -> None:
    put(context, "resume")


@turns.command(help="Make the relay that is asked a voter.")
@click.pass_context
def vote(context: click.Context) -> None:
    put(context, "vote")


@turns.command(help="Make this relay's first voter's file: once, before the first start of all; never after a loss.")
def init() -> None:
    config, operator = load_config(), load_operator()
    if operator.turns is None or operator.peers is None:
        raise click.ClickException("the operator's file has no [turns]")
    file = MaintenanceVoterFile(operator.turns.directory, operator.peers.name or config.name, operator.peers.cluster)
    try:
        file.initialize(operator.turns.voters)
    except (FileUnavailableError, OSError) as error:
        raise click.ClickException(str(error)) from error
    click.echo(f"{file.path} is made for {file.owner}")


def main(arguments: list[str]) -> int:
    return calls.run(turns, arguments, "turns")
