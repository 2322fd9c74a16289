"""A controller's process: its core on a real socket, its voter on a thread, the operators' calls. It serves nobody."""

from __future__ import annotations

import asyncio
import signal
from collections import OrderedDict
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
from loguru import logger

from yarrowspindle.configuration import codec
from yarrowspindle.configuration.controller import Controller
from yarrowspindle.configuration.messages import (
    AskAcceptor,
    ChangeAnswered,
    ChangeRequested,
    Effect,
    MessageReceived,
    Sender,
    SendMessage,
    StateCommitted,
)
from yarrowspindle.configuration.settings import ControlSettings
from yarrowspindle.configuration.state import ControlError, ControlState
from yarrowspindle.consensus.acceptor import Acceptor, AcceptorState
from yarrowspindle.daemon.config import ConfigError
from yarrowspindle.daemon.configuration_endpoint import Endpoint, some_number
from yarrowspindle.daemon.metrics_reporter import report
from yarrowspindle.daemon.operator_config import Operator
from yarrowspindle.daemon.shared_settings import check
from yarrowspindle.operator_api import OperatorApi
from yarrowspindle.operator_api.http import Answer as HttpAnswer
from yarrowspindle.storage.durable_file import DurableFile, FileUnavailableError
from yarrowspindle.storage.file_codec import StoredValue
from yarrowspindle.storage.voter_file import INITIAL_IDENTITY, VoterFile

LOCK_S = 0.2
AGREED = "agreed"
MAX_VOTES = 256  # that wait for the disk; more are lost, as any message may be
MAX_ANSWERS = 1024
STEPS_SAID = 8  # newest versions that the log names where many were missed
MAX_BODY = 512 * 1024
APART = ("quic", "rebalance", "peers", "turns")  # sections of a relay


def first_state(settings: ControlSettings) -> ControlState:
    """What all controllers start from: voters with the files that the operator made for them once."""
    return ControlState({name: INITIAL_IDENTITY for name in settings.voters})


def file_of(settings: ControlSettings) -> VoterFile[ControlState]:
    return VoterFile(settings.directory, settings.me.name, settings.cluster, codec.FILE)


class Files:
    """A controller's files, under the one lock of its folder, and what they held at the start."""

    def __init__(self, settings: ControlSettings) -> None:
        self.voter = file_of(settings)
        self.agreed = DurableFile(settings.directory, settings.me.name, settings.cluster, AGREED, codec.AGREED)
        self.kept: AcceptorState[ControlState] | None = None
        self.state: ControlState | None = None
        self.unusable: dict[DurableFile[Any], FileUnavailableError] = {}

    def not_yet(self) -> str:
        """Why they cannot be used yet: another process has them, or the disk cannot be read just now; empty: they
        are loaded. A file that is missing or of no use is no reason to wait."""
        if why := self.voter.lock_failure():
            return why
        self.agreed.lock_descriptor = self.voter.lock_descriptor  # it is this process that has it
        try:
            self.kept, self.state = self._loaded(self.voter), self._loaded(self.agreed)
        except OSError as error:
            return f"what is kept in {self.voter.directory} cannot be read just now: {error}"
        return ""

    def _loaded(self, file: DurableFile[StoredValue]) -> StoredValue | None:
        try:
            return file.load()
        except FileUnavailableError as why:
            self.unusable[file] = why
            return None


class ControllerEndpoint(Endpoint):
    core: Controller

    def __init__(self, settings: ControlSettings, files: Files) -> None:
        super().__init__(settings, settings.me.name)
        self.file, self.agreed, self.first = files.voter, files.agreed, first_state(settings)
        self.voter: Acceptor[ControlState] | None = None
        self.votes = 0
        self.said_version = 0
        self.answers: OrderedDict[int, ChangeAnswered | None] = OrderedDict()  # None: not settled yet
        self.ticket = some_number()
        self.api: OperatorApi | None = None
        agreed, kept = files.state or self.first, files.kept
        if files.state is None and self.agreed.path.exists():
            logger.warning(
                "control: {} cannot be used: {}; what was agreed on is told once a majority of the voters was heard",
                self.agreed.path,
                files.unusable[self.agreed],
            )
        if kept is not None:
            self._vote_with(kept)
        elif settings.me.voter:
            logger.warning(
                "control: no voter's file in {}: {}; this controller has no voice until the others have "
                "taken it in (`control init` makes the first files of all, and is never used after a "
                "loss)",
                settings.directory,
                files.unusable[self.file],
            )
        self.core = Controller(
            settings.me,
            settings.machines,
            agreed,
            kept.identity if kept else "",
            kept.state if kept else self.first,
            self.incarnation,
            check,
            some_number(),
            self._now(),
        )

    async def start(self) -> None:
        self.open()
        self.tasks.append(self.loop.create_task(self._keep(self.agreed)))
        self._take_voice(self.core.state)
        self.carry_out(self.core.take_effects())
        if self.settings.command is not None:
            routes = {
                "/control/change": {"PUT": self._call(self._change)},
                "/control/answer": {"PUT": self._call(self._answered)},
            }
            self.api = OperatorApi(
                {"/control": {"GET": lambda: (200, self._json(self.shown()))}},
                lambda text: logger.error("control: a call failed: {}", text),
                routes,
                MAX_BODY,
            )
            try:
                await self.api.start(*self.settings.command)
                logger.info("control: commands are taken at {}:{}", *self.settings.command)
            except OSError as error:
                logger.error("control: no commands can be taken at {}:{}: {}", *self.settings.command, error)

    async def close(self) -> None:
        if self.api is not None:
            self.api.close()
        await super().close()

    def kept_in(self) -> DurableFile[Any] | None:
        return self.agreed

    # --- the core's sides -----------------------------------------------------------------------

    def _send(self, send: SendMessage) -> None:
        if send.to.address == self.settings.reached_at:
            self.loop.call_soon(self.post, MessageReceived(self.settings.me.sender, send.message))
        else:
            super()._send(send)

    def _effect(self, effect: Effect) -> None:
        if isinstance(effect, AskAcceptor):
            self._vote(effect)
        elif isinstance(effect, StateCommitted):
            self._took(effect.state)
        elif isinstance(effect, ChangeAnswered):
            self.answers[effect.ticket] = effect

    def _vote_with(self, kept: AcceptorState[ControlState]) -> None:
        self.voter = Acceptor(kept, self.file.store, self._now)
        logger.info(
            "control: {} has its voter's file, promised {}, accepted version {}",
            self.name,
            kept.promised[0],
            kept.state.version,
        )

    def _vote(self, vote: AskAcceptor) -> None:
        """On a thread, one at a time, in their order."""
        if self.voter is not None and self.votes < MAX_VOTES:
            self.votes += 1
            asked = self.loop.run_in_executor(self.disk, self.voter.on_message, vote.message)
            asked.add_done_callback(partial(self._voted, vote.sender))

    def _voted(self, sender: Sender, asked: asyncio.Future[Any]) -> None:
        self.votes -= 1
        if asked.cancelled() or self.closed:
            return
        error = asked.exception()
        if error is None:
            self._send(SendMessage(sender, asked.result()))
            return
        self.counts["unwritten"] += 1
        self._warn(f"the voter's file cannot be written, so nothing is voted: {error}")

    def _took(self, state: ControlState) -> None:
        for done in state.done[-STEPS_SAID:]:
            if done.version > self.said_version:
                what = f"refused: {done.why}" if done.why else ", ".join(sorted(done.step)) or "voters"
                logger.info("control: version {} is agreed on: {}", done.version, what)
        self.said_version = state.version
        self.keep(state)
        self._take_voice(state)

    def _take_voice(self, state: ControlState) -> None:
        """A voter whose file was lost makes one that the others do not know yet."""
        if not self.core.identity and self.name in state.voters and state.version > 0:
            try:
                kept = self.file.recreate(self.first)
            except OSError as error:
                self._warn(f"no file can be made in {self.settings.directory}: {error}")
                return
            self._vote_with(kept)
            self.core.identity = kept.identity

    # --- operators ------------------------------------------------------------------------------

    def shown(self) -> dict[str, Any]:
        return {"name": self.name, "cluster": self.settings.cluster, **self.core.shown()}

    def gauges(self) -> dict[str, float]:
        shown = self.core.shown()
        found = {name: float(shown[name]) for name in ("version", "in_force", "relays", "leads", "votes", "waiting")}
        found["named"] = float(len(shown["named"]) + shown["more"])
        return {f"control.{name}": value for name, value in found.items()}

    @staticmethod
    def _json(what: object) -> str:
        return msgspec.json.encode(what).decode() + "\n"

    def _call(self, act: Callable[[dict[str, Any]], object]) -> Callable[[bytes], HttpAnswer]:
        def answer(body: bytes) -> HttpAnswer:
            try:
                return 200, self._json(act(msgspec.json.decode(body or b"{}", type=dict[str, Any])))
            except (ControlError, msgspec.DecodeError, msgspec.ValidationError) as error:
                return 409, self._json({"error": str(error)})

        return answer

    def _change(self, told: dict[str, Any]) -> object:
        step = msgspec.convert(told.get("step"), dict[str, str | None])
        absent = sorted(key for key, value in step.items() if value is None and key not in self.core.state.entries)
        if not step:
            raise ControlError("nothing is to be changed")
        if absent:
            raise ControlError(f"there is no entry {', '.join(absent)[:200]}")
        self.ticket += 1
        self.answers[self.ticket] = None
        while len(self.answers) > MAX_ANSWERS:
            self.answers.popitem(last=False)
        self.post(ChangeRequested(self.ticket, step))
        return {"ticket": self.ticket}

    def _answered(self, told: dict[str, Any]) -> object:
        """An answer of this interface cannot wait: whoever asked for a change comes again for its answer."""
        ticket = msgspec.convert(told.get("ticket"), int)
        if ticket not in self.answers:
            raise ControlError("no such change is known here: this controller has started anew. See `show`")
        found = self.answers[ticket]
        if found is None:
            return {"settled": False}
        return {"settled": True, "version": found.version, "error": found.why}


async def serve(settings: ControlSettings, operator: Operator) -> None:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, logger.info, "a controller reads nothing again: restart it")
    files, said = Files(settings), ""
    while why := files.not_yet():
        if why != said:
            logger.warning("control: {}: this controller waits", why)
        said = why
        try:
            await asyncio.wait_for(stopping.wait(), LOCK_S)
            return
        except TimeoutError:
            pass
    endpoint = ControllerEndpoint(settings, files)
    await endpoint.start()
    reporting = None
    if operator.metrics is not None:
        reporting = loop.create_task(report(endpoint, operator.metrics, endpoint.name))
    await stopping.wait()
    if reporting is not None:
        reporting.cancel()
    await endpoint.close()
    logger.info("stopped")


def check_sections(operator: Operator) -> None:
    for section in APART:
        if getattr(operator, section) is not None:
            raise ConfigError(f'[{section}] is for relays: with control.role "controller" nobody is served')
