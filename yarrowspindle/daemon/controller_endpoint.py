"""A controller on a UDP socket: its acceptor, which runs on a thread, its files and the operators' API."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any

from loguru import logger

from yarrowspindle.configuration.controller import Controller
from yarrowspindle.configuration.effects import AskAcceptor, ChangeAnswered, Effect, SendMessage, StateCommitted
from yarrowspindle.configuration.events import MessageReceived, Sender
from yarrowspindle.configuration.settings import ControlSettings
from yarrowspindle.configuration.state import CommittedStep, ControlState
from yarrowspindle.consensus.acceptor import Acceptor, AcceptorState
from yarrowspindle.daemon.background_store import BackgroundStore
from yarrowspindle.daemon.configuration_endpoint import ConfigurationEndpoint, random_number
from yarrowspindle.daemon.controller_api import ControllerApi, ControllerApiSources
from yarrowspindle.daemon.controller_files import ControllerFiles, initial_state
from yarrowspindle.daemon.shared_settings import check_shared_settings

# Limit of requests that wait for the disk; further ones are dropped, which the protocol tolerates.
MAX_WAITING_ACCEPTOR_REQUESTS = 256
MAX_LOGGED_VERSIONS = 8  # newest versions to log if several were missed
UNWRITTEN = "unwritten"  # published name of a counter
GAUGES = ("version", "in_force", "relays", "leads", "votes", "waiting")  # members of the status


class ControllerEndpoint(ConfigurationEndpoint):
    """A controller, its acceptor if it votes, and the store of its committed state."""

    core: Controller

    def __init__(self, settings: ControlSettings, files: ControllerFiles) -> None:
        super().__init__(settings, settings.own_address.name)
        self.files, self.initial = files, initial_state(settings)
        self.committed_store = BackgroundStore(files.committed, self.disk_executor, self.counts)
        self.store = self.committed_store
        self.acceptor: Acceptor[ControlState] | None = None
        self.waiting_acceptor_requests = 0
        self.logged_version = 0
        self._log_unusable_files()
        stored = files.acceptor_state
        if stored is not None:
            self._start_acceptor(stored)
        self.core = Controller(
            settings.own_address,
            settings.controllers,
            files.committed_state or self.initial,
            stored.identity if stored else "",
            stored.state if stored else self.initial,
            self.incarnation,
            check_shared_settings,
            random_number(),
            self._now(),
        )
        sources = ControllerApiSources(self.status, lambda: self.core.state.entries, self.post)
        self.api = ControllerApi(sources, random_number())

    async def start(self) -> None:
        """Start to listen to other processes and to operators."""
        self.open()
        self._create_acceptor_file(self.core.state)
        self.carry_out(self.core.take_effects())
        if self.settings.command is not None:
            await self.api.start(self.settings.command)

    async def close(self) -> None:
        """Stop listening, and store the pending state."""
        self.api.close()
        await super().close()

    def status(self) -> dict[str, Any]:
        """Return the status for operators by its published names."""
        return {"name": self.name, "cluster": self.settings.cluster, **self.core.status().to_json()}

    def gauges(self) -> dict[str, float]:
        """Return the gauges by their published names."""
        status = self.core.status().to_json()
        gauges = {name: float(status[name]) for name in GAUGES}
        gauges["named"] = float(len(status["named"]) + status["more"])
        return {f"control.{name}": value for name, value in gauges.items()}

    def _log_unusable_files(self) -> None:
        files = self.files
        if files.committed_state is None and files.committed.path.exists():
            logger.warning(
                "control: cannot use {}: {}; this controller distributes the committed settings once a majority of the "
                "voters has answered",
                files.committed.path,
                files.errors[files.committed],
            )
        if files.acceptor_state is None and self.settings.own_address.voter:
            logger.warning(
                "control: no voter's file in {}: {}; this controller does not vote until the others have added it "
                "again (`control init` creates the files before the first start only; do not use it after a loss)",
                self.settings.directory,
                files.errors[files.acceptor],
            )

    # --- effects ----------------------------------------------------------------------------------

    def _send(self, send: SendMessage) -> None:
        if send.to.address == self.settings.advertised_address:
            own = self.settings.own_address.sender
            self.loop.call_soon(self.post, MessageReceived(own, send.message))
        else:
            super()._send(send)

    def _carry_out_for_role(self, effect: Effect) -> None:
        if isinstance(effect, AskAcceptor):
            self._ask_acceptor(effect)
        elif isinstance(effect, StateCommitted):
            self._on_state_committed(effect.state)
        elif isinstance(effect, ChangeAnswered):
            self.api.on_answer(effect)

    def _on_state_committed(self, state: ControlState) -> None:
        for step in state.recent_steps[-MAX_LOGGED_VERSIONS:]:
            if step.version > self.logged_version:
                logger.info("control: version {} is committed: {}", step.version, self._describe(step))
        self.logged_version = state.version
        self.committed_store.put(state)
        self._create_acceptor_file(state)

    @staticmethod
    def _describe(step: CommittedStep) -> str:
        if step.rejection_reason:
            return f"rejected: {step.rejection_reason}"
        return ", ".join(sorted(step.step)) or "voters"

    # --- acceptor ---------------------------------------------------------------------------------

    def _start_acceptor(self, stored: AcceptorState[ControlState]) -> None:
        self.acceptor = Acceptor(stored, self.files.acceptor.store, self._now)
        logger.info(
            "control: {} has its voter's file, promised {}, accepted version {}",
            self.name,
            stored.promised[0],
            stored.state.version,
        )

    def _create_acceptor_file(self, state: ControlState) -> None:
        """Create a file with a new identity if this controller is a voter whose file was lost."""
        if self.core.identity or self.name not in state.voters or state.version <= 0:
            return
        try:
            created = self.files.acceptor.recreate(self.initial)
        except OSError as error:
            self._warn(f"cannot create a voter's file in {self.settings.directory}: {error}")
            return
        self._start_acceptor(created)
        self.core.start_voting(created.identity)

    def _ask_acceptor(self, request: AskAcceptor) -> None:
        """Pass a request to the acceptor on the disk thread, one at a time and in order."""
        if self.acceptor is not None and self.waiting_acceptor_requests < MAX_WAITING_ACCEPTOR_REQUESTS:
            self.waiting_acceptor_requests += 1
            response = self.loop.run_in_executor(self.disk_executor, self.acceptor.on_message, request.message)
            response.add_done_callback(partial(self._on_acceptor_response, request.sender))

    def _on_acceptor_response(self, sender: Sender, response: asyncio.Future[Any]) -> None:
        self.waiting_acceptor_requests -= 1
        if response.cancelled() or self.closed:
            return
        error = response.exception()
        if error is None:
            self._send(SendMessage(sender, response.result()))
            return
        self.counts[UNWRITTEN] += 1
        self._warn(f"the voter's file cannot be written, so this controller does not vote: {error}")
