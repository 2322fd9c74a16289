"""Watches the endpoint list of the discovery service over HTTP; a new watch is opened before the old one is closed."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from yarrowspindle.decisions.events import ListKind
from yarrowspindle.protocol.endpoint_list import ZoneAndKindNames
from yarrowspindle.routing.address import Address
from yarrowspindle.routing.events import EndpointsUpdated
from yarrowspindle.transport.connector import ConnectFailure, Connector
from yarrowspindle.transport.endpoint_list_watch import WatchConnection

LOCAL_RETRY_S = 0.025  # after a failure of this host's own system calls
MAX_BEHIND_S = 1.0  # for which the own watch may lack a version that another process of the relay has received
MAX_PENDING_CALLS = 12  # calls in flight besides the newest; each one times out on its own


class EndpointWatch:
    """A watch on the endpoint list. After an update of the kind FAILED, the receiver calls `open` to retry.

    Args:
        names: zone and kind names from the settings.
        on_update: called with each update, with one of the kind CONFIRMED when a service sends anything on a watch that
            has received its list, and with one of the kind FAILED when the watch ends.
        on_failure: called with the reason, for the log, when the watch ends.
        log: called with a debug line for each call, its first list and its end.

    Attributes:
        counts: number of calls to discovery, of updates received, of versions taken up from another process and of
            failures, by their published names.
        watch: the newest call.
        watch_address: the address of the discovery service that `watch` connects to.
        connecting: attempts to connect, by watch.
        pending_calls: earlier calls to the same address that have not received a list yet.
        previous: the watch that `watch` replaces, kept open until `watch` has received its list.
        last_active_at: event loop time in seconds at which a service last sent data on a watch that had received its
            list; None before the first time.
        last_active_address: the address of that service.
        version: the newest list version that was reported, here or by another process of the relay, since `open` last
            requested the full list.
        older_list_rejected: whether the last watch was ended because its list was older than `version`.
        requests_full_list: whether that was a change, so that the service has to be asked for the full list.
    """

    def __init__(
        self,
        names: ZoneAndKindNames,
        on_update: Callable[[EndpointsUpdated], None],
        on_failure: Callable[[str], None],
        log: Callable[[str], None] = lambda text: None,
    ) -> None:
        self.names, self.on_update, self.on_failure, self.log = names, on_update, on_failure, log
        self.counts: Counter[str] = Counter()
        self.watch: WatchConnection | None = None
        self.watch_address: Address | None = None
        self.connecting: dict[WatchConnection, Connector] = {}
        self.pending_calls: deque[WatchConnection] = deque()
        self.previous: WatchConnection | None = None
        self.closed = False
        self.last_active_at: float | None = None
        self.last_active_address: Address | None = None
        self.version = 0
        self.older_list_rejected = self.requests_full_list = False

    def open(self, version: int, address: Address, renew: bool = False) -> None:
        """Watch the list at `address` from `version` on.

        An existing watch on the same address is kept, unless `renew` is set. While a watch is being renewed, the old
        one continues to report updates until the new one has received a list; renewing detects a watch that no longer
        receives anything. Calls that have not received a list yet stay open beside newer ones, so that a service whose
        answers take longer than the interval between calls is still heard.
        """
        if self.closed or (self.watch is not None and self.watch_address == address and not renew):
            return
        if self.watch is not None:
            self._replace(self.watch, address)
        self.version = max(version, self.version) if version else 0
        self.watch_address = address
        self.counts["calls"] += 1
        requested_version = 0 if self.requests_full_list else version
        self.watch = watch = WatchConnection(self, self.names, address, requested_version, self.counts["calls"])
        self.log(
            f"discovery call={watch.number} opened address={address[0]}:{address[1]} version={version} "
            f"{self.describe()} pending_calls={len(self.pending_calls)} previous_open={self.previous is not None}"
        )
        watch.start_first_list_timer()
        self._connect(watch)

    def _connect(self, watch: WatchConnection) -> None:
        if not watch.ended:
            self.connecting[watch] = connecting = Connector(watch, watch.address, partial(self._on_failure, watch))
            connecting.start()

    def _on_failure(self, watch: WatchConnection, failure: ConnectFailure) -> None:
        """End a call that did not reach discovery; if a fault of this host is the cause, connect again."""
        self.connecting.pop(watch, None)
        if failure.unexpected or not failure.is_local or watch is not self.watch:
            watch.end(str(failure))
            return
        self.counts["local_failures"] += 1
        self.log(f"discovery call={watch.number} connects again: {failure}")
        asyncio.get_running_loop().call_later(LOCAL_RETRY_S, self._connect, watch)

    def _replace(self, replaced: WatchConnection, address: Address) -> None:
        self.watch = None
        if replaced.has_list and self.previous is None:
            self.previous = replaced
        elif not replaced.has_list and replaced.address == address:
            self.pending_calls.append(replaced)
            if len(self.pending_calls) > MAX_PENDING_CALLS:
                self._end(self.pending_calls.popleft(), "too many pending watch calls; closing the oldest")
        else:  # `replaced` holds no list that is still needed
            self._end(replaced, "replaced by a new watch")

    def _end(self, watch: WatchConnection, reason: str) -> None:
        connecting = self.connecting.pop(watch, None)
        if connecting is not None:
            connecting.cancel()
        watch.end(reason)

    def _promote(self, watch: WatchConnection) -> None:
        """Make a pending call that has received its list the current watch, and end the calls made after it."""
        self.pending_calls.remove(watch)
        superseded = [*self.pending_calls, self.watch]
        self.pending_calls.clear()
        self.watch = watch
        for later in superseded:
            if later is not None:
                self._end(later, "superseded: an earlier call received its list")

    def _keep_as_previous(self, watch: WatchConnection) -> None:
        """Use a pending call to an earlier address until the present address has delivered a list."""
        self.pending_calls.remove(watch)
        if self.previous is None and (self.watch is None or not self.watch.has_list):
            self.previous = watch
        else:
            self._end(watch, "superseded: the address of discovery has changed")

    def close(self) -> None:
        """End all calls and report nothing more."""
        self.closed = True
        for watch in (self.watch, self.previous, *self.pending_calls):
            if watch is not None:
                self._end(watch, "closed")

    def adopt_version(self, version: int) -> None:
        """Report nothing older than this version, which another process of the relay has received.

        The own watch is renewed unless it delivers that version soon: it may receive updates no longer, or its service
        may have begun its version numbers anew.
        """
        self.counts["taken_up"] += 1
        self.version, self.older_list_rejected, self.requests_full_list = version, False, False
        if self.watch is not None and self.watch.has_list:
            asyncio.get_running_loop().call_later(MAX_BEHIND_S, self._renew_if_behind, self.watch, version)

    def _renew_if_behind(self, watch: WatchConnection, version: int) -> None:
        if watch is self.watch and watch.list_version < version:
            self.log(f"discovery call={watch.number} has not delivered version {version}: it is renewed")
            self.open(self.version, watch.address, renew=True)

    # --- for logs and metrics -----------------------------------------------------------------------

    def list_age_ms(self) -> float | None:
        """Return how many milliseconds ago a service last confirmed the list; None if none has in this process."""
        if self.last_active_at is None:
            return None
        return (asyncio.get_running_loop().time() - self.last_active_at) * 1000.0

    def describe(self) -> str:
        """Return the version and the age of the list for a log line."""
        age_ms = self.list_age_ms()
        return f"list_version={self.version} list_age_ms={'none' if age_ms is None else format(age_ms, '.0f')}"

    def gauges(self) -> dict[str, float]:
        """Return the state of the watch by its published names; the age of a list that was never confirmed is -1."""
        age_ms = self.list_age_ms()
        return {
            "list.version": float(self.version),
            "list.age_ms": -1.0 if age_ms is None else age_ms,
            "list.watch_open": float(any(w is not None and w.has_list for w in (self.watch, self.previous))),
            "list.pending_calls": float(len(self.pending_calls)),
        }

    # --- reports of the watches -------------------------------------------------------------------

    def watch_active(self, watch: WatchConnection) -> None:
        """Record the time at which the service sent data: any data confirms that its last list is still current."""
        if watch is self.watch or (watch is self.previous and watch.address == self.watch_address):
            self.last_active_at, self.last_active_address = asyncio.get_running_loop().time(), watch.address
            self.on_update(EndpointsUpdated(ListKind.CONFIRMED))

    @staticmethod
    def _call_age_ms(watch: WatchConnection) -> float:
        return (asyncio.get_running_loop().time() - watch.opened_at) * 1000.0

    def _silence_ms(self, watch: WatchConnection) -> float | None:
        """Return how many milliseconds ago the service of this watch last sent data; None if it has sent none."""
        if self.last_active_at is None or self.last_active_address != watch.address:
            return None
        return (asyncio.get_running_loop().time() - self.last_active_at) * 1000.0

    def endpoints_received(self, watch: WatchConnection, update: EndpointsUpdated) -> None:
        """Report an update, unless it is older than the last one reported: an older list would undo drains.

        An older list is requested once more and accepted the second time, since the service may have restarted its
        version numbers.
        """
        if watch in self.pending_calls:
            if watch.address == self.watch_address:
                self._promote(watch)
            else:
                self._keep_as_previous(watch)
        if watch.address == self.watch_address:
            if 0 < update.version < self.version and self._reject_older(watch, update):
                return
            if watch in (self.watch, self.previous):
                self.version = update.version
        if watch is self.watch:
            self.older_list_rejected = self.requests_full_list = False
        if watch is self.watch and self.previous is not None:
            previous, self.previous = self.previous, None
            previous.end("replaced by a newer watch that has received its list")
        if watch is self.previous and watch.address != self.watch_address:
            # Versions of another service are not comparable: keep the version to resume from.
            update = replace(update, version=self.version)
        if watch in (self.watch, self.previous):
            self.counts["updates"] += 1
            self.log(
                f"discovery call={watch.number} delivered version={update.version} kind={update.kind.name.lower()} "
                f"entries={len(update.endpoints)} call_age_ms={self._call_age_ms(watch):.0f}"
            )
            update.since_last_update_ms = self._silence_ms(watch)
            self.on_update(update)

    def _reject_older(self, watch: WatchConnection, update: EndpointsUpdated) -> bool:
        """Return whether to ignore an update that is older than the last one; a list is requested once more.

        A change is merely late if the service knows the version from which changes were requested.
        """
        if watch is not self.watch:
            return True
        if update.kind is ListKind.DELTA and update.version >= watch.version:
            asyncio.get_running_loop().call_later(MAX_BEHIND_S, self._renew_if_behind, watch, self.version)
            return True
        if self.older_list_rejected and update.kind is ListKind.FULL:
            return False
        self.older_list_rejected, self.requests_full_list = True, update.kind is ListKind.DELTA
        watch.end(f"the list has version {update.version}, older than {self.version}; requesting it again")
        return True

    def first_list_overdue(self, watch: WatchConnection, reason: str) -> None:
        """Report a failure of the newest call, so that another one is made, and keep it open beside that one."""
        if watch is not self.watch or self.closed:
            return
        self.watch = None
        self.pending_calls.append(watch)
        self._report_failure(reason)

    def _report_failure(self, reason: str) -> None:
        self.counts["failures"] += 1
        self.on_failure(f"{reason} ({self.describe()})")
        self.on_update(EndpointsUpdated(ListKind.FAILED))

    def watch_ended(self, watch: WatchConnection, reason: str) -> None:
        """Remove a watch that ended, and report a failure if it was the newest call."""
        self.log(
            f"discovery call={watch.number} ended had_list={watch.has_list} "
            f"call_age_ms={self._call_age_ms(watch):.0f} {self.describe()}: {reason}"
        )
        self.connecting.pop(watch, None)
        if watch in self.pending_calls:
            self.pending_calls.remove(watch)
        if self.previous is watch:
            self.previous = None
        elif self.watch is watch:
            self.watch = None
            if not self.closed:
                self._report_failure(reason)
