"""A relay's side of the configuration: passes committed settings to the service and stores them for the next start."""

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

APPLIED_SETTINGS_NAME = "taken"  # name of the file
MAX_READ_ATTEMPTS = 20  # of that file at the start, before any request is served
READ_RETRY_S = 0.05


class RelayEndpoint(ConfigurationEndpoint):
    """An agent whose settings the relay's service applies."""

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
        """Applies the stored settings, so that the first request is served by them, and starts to listen."""
        self.carry_out(self.core.take_effects())
        self.open()

    async def close(self) -> None:
        """Detaches from the controller, and stores what is pending."""
        self.carry_out(self.core.detach())
        await super().close()

    def carry_out(self, effects: Sequence[Effect]) -> None:
        """Carries out effects; where the service rejects settings, what depends on them is left out."""
        for apply in [effect for effect in effects if isinstance(effect, ApplySettings)]:
            reason = self._apply(apply)
            if reason:
                effects = [effect for effect in effects if isinstance(effect, SetTimer | LogMessage)]
                effects += self.core.step(self._now(), SettingsRejected(apply.version, reason))
        super().carry_out(effects)

    def gauges(self) -> dict[str, float]:
        """The gauges by their published names."""
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
        """Returns why the service keeps its settings; empty where it applies this version."""
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
            logger.info("control: applied version {}, which has no entries: the file's settings", apply.version)
        return ""

    @classmethod
    def _stored_settings(cls, file: DurableFile[Persist]) -> tuple[int, Entries]:
        """Returns the version that was applied before a restart, and its entries; 0 and none where there is none."""
        try:
            stored = cls._load(file)
        except FileUnavailableError as error:
            logger.log(
                "WARNING" if file.path.exists() else "INFO",
                "control: no stored settings can be used in {}: {}; this relay serves by its own file until a "
                "controller sends it others",
                file.path,
                error,
            )
            return 0, {}
        return stored.version, dict(stored.entries)

    @staticmethod
    def _load(file: DurableFile[Persist]) -> Persist:
        """Reads the file, with retries: the stored settings are to be applied from the first request on.

        Raises FileUnavailableError where there is no file that can be used.
        """
        for _ in range(MAX_READ_ATTEMPTS - 1):
            try:
                return file.load()
            except OSError:
                time.sleep(READ_RETRY_S)
        try:
            return file.load()
        except OSError as error:
            raise FileUnavailableError(f"it cannot be read: {error}") from error
