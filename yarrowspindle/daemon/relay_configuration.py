"""A relay's side of the shared configuration: applies committed settings and stores them for the next start."""

from __future__ import annotations

import time
from collections.abc import Sequence

from loguru import logger

from yarrowspindle.configuration.agent import Agent
from yarrowspindle.configuration.codec import APPLIED_SETTINGS_FILE
from yarrowspindle.configuration.effects import ApplySettings, Effect, LogMessage, Persist, SetTimer
from yarrowspindle.configuration.events import SettingsRejected
from yarrowspindle.configuration.settings import ControlSettings, controllers_by_preference
from yarrowspindle.configuration.state import Entries
from yarrowspindle.daemon.background_store import BackgroundStore
from yarrowspindle.daemon.config import ConfigError
from yarrowspindle.daemon.configuration_endpoint import ConfigurationEndpoint, random_number
from yarrowspindle.daemon.relay_service import RelayService
from yarrowspindle.daemon.shared_settings import MAX_REASON_CHARACTERS, check_shared_settings
from yarrowspindle.storage.durable_file import DurableFile, FileUnavailableError

APPLIED_SETTINGS_NAME = "taken"  # published name of the file
MAX_READ_ATTEMPTS = 20  # attempts to read that file at the start, before any request is served
READ_RETRY_S = 0.05


class RelayEndpoint(ConfigurationEndpoint):
    """The endpoint of a relay's agent, whose settings the relay's service applies."""

    core: Agent

    def __init__(self, service: RelayService, settings: ControlSettings) -> None:
        super().__init__(settings, settings.name or service.config.name)
        self.service = service
        self.file: DurableFile[Persist] | None = None
        version = 0
        entries: Entries = {}
        if settings.directory:
            self.file = DurableFile(
                settings.directory, self.name, settings.cluster, APPLIED_SETTINGS_NAME, APPLIED_SETTINGS_FILE
            )
            self.store = BackgroundStore(self.file, self.disk_executor, self.counts)
            version, entries = self._stored_settings(self.file)
        controllers = controllers_by_preference(settings.controllers, self.name, settings.zone, settings.region)
        self.core = Agent(controllers, check_shared_settings, random_number(), self._now(), version, entries)
        service.metrics.counter_sources["control"] = self.counters
        service.metrics.gauge_sources.append(self.gauges)

    def start(self) -> None:
        """Apply the stored settings, so that they are in force for the first request, and start to listen."""
        self.carry_out(self.core.take_effects())
        self.open()

    async def close(self) -> None:
        """Detach from the controller, and store the pending version."""
        self.carry_out(self.core.detach())
        await super().close()

    def carry_out(self, effects: Sequence[Effect]) -> None:
        """Carry out effects; if the service rejects settings, skip the effects that assume that they were applied."""
        for apply in [effect for effect in effects if isinstance(effect, ApplySettings)]:
            reason = self._apply(apply)
            if reason:
                effects = [effect for effect in effects if isinstance(effect, SetTimer | LogMessage)]
                effects += self.core.step(self._now(), SettingsRejected(apply.version, reason))
        super().carry_out(effects)

    def gauges(self) -> dict[str, float]:
        """Return the gauges by their published names."""
        core = self.core
        return {
            "control.version": float(core.applied_version),
            "control.known": float(core.known_version),
            "control.alone": float(core.has_no_controller),
            "control.refuses": float(bool(core.rejection_reason)),
        }

    def _carry_out_for_role(self, effect: Effect) -> None:
        if isinstance(effect, Persist) and self.store is not None:
            self.store.put(effect)

    def _apply(self, apply: ApplySettings) -> str:
        """Apply a version. Return the reason why the service rejected it, or an empty string on success."""
        try:
            self.service.apply_shared_settings(apply.entries)
        except Exception as error:
            if not isinstance(error, ConfigError):
                logger.exception("control: version {} cannot be applied", apply.version)
            return str(error)[:MAX_REASON_CHARACTERS] or repr(error)
        if apply.entries:
            changed = ", ".join(sorted(apply.changed_keys)) or "nothing"
            logger.info("control: applied version {}; changed: {}", apply.version, changed)
        else:
            logger.info(
                "control: applied version {}, which has no entries: the settings of the file are in force",
                apply.version,
            )
        return ""

    @classmethod
    def _stored_settings(cls, file: DurableFile[Persist]) -> tuple[int, Entries]:
        """Return the version that was applied before a restart and its entries; 0 and no entries if none is stored."""
        try:
            stored = cls._load(file)
        except FileUnavailableError as error:
            logger.log(
                "WARNING" if file.path.exists() else "INFO",
                "control: cannot use the stored settings in {}: {}; the settings of this relay's own file are in force "
                "until a controller sends others",
                file.path,
                error,
            )
            return 0, {}
        return stored.version, dict(stored.entries)

    @staticmethod
    def _load(file: DurableFile[Persist]) -> Persist:
        """Read the file, with retries, since the stored settings must be in force for the first request.

        Raise FileUnavailableError if there is no usable file.
        """
        for _ in range(MAX_READ_ATTEMPTS - 1):
            try:
                return file.load()
            except OSError:
                time.sleep(READ_RETRY_S)
        try:
            return file.load()
        except OSError as error:
            raise FileUnavailableError(f"the file cannot be read: {error}") from error
