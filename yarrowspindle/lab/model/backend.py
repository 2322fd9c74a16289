"""An execute node in the model: capacity, warm-up, fall-over, groups that cost once, set-ups that take time."""

from __future__ import annotations

from collections import deque
from math import log
from typing import Any

from yarrowspindle.decisions.events import EndpointState

NEAR, NEAR_LOSS = 0.75, 0.1  # from this load on messages begin to wait; at full load so many of them wait too long
HANGING = 9.0  # the use that a node reports while it answers nothing
SHARE_POWER = 2.0  # how fast the share of well-served messages falls once a node holds more than it can carry


class ModelBackend:
    """`size` is what the machine list tells; `power` what the node can really do, both in units of 1000 ms of work a
    second. Loads are milliseconds of work a second."""

    def __init__(
        self,
        name: str,
        zone: int,
        size: float,
        power: float,
        *,
        cold_ms: float,
        cold_share: float,
        fall_multiple: float,
        fall_ms: float,
        group_load: float,
        set_up_ms: float,
        most: int,
    ) -> None:
        self.name, self.zone, self.size, self.power = name, zone, size, power
        self.cold_ms, self.cold_share = cold_ms, cold_share
        self.fall_multiple, self.fall_ms = fall_multiple, fall_ms
        self.group_load, self.set_up_ms, self.most = group_load, set_up_ms, most
        self.state, self.alive, self.fallen = EndpointState.READY, True, False
        self.started = 0.0
        self.load = 0.0
        self.held: dict[Any, tuple[float, int]] = {}  # connection -> its load and group
        self.worths: dict[Any, float] = {}
        self.groups: dict[int, int] = {}
        self.sent: deque[tuple[float, float, float]] = deque()  # set-ups of late: when, work, load brought
        self.sent_work = self.sent_load = 0.0
        self.cold_ratio_peak = 0.0
        self.worth = 0.0  # of what it holds
        self.taken = 0  # connections so far
        self.slow = 1.0  # how many times slower than usual
        self.hangs = self.silent = False  # takes all and answers nothing; has vanished from the network
        self.paused_until = 0.0
        self.reported: tuple[float, ...] = ()  # connections held and use, as last refreshed

    def ramp(self, now: float) -> float:
        if self.started <= 0.0 or now >= self.started + self.cold_ms:
            return 1.0
        return self.cold_share + (1.0 - self.cold_share) * max(0.0, now - self.started) / self.cold_ms

    def capacity(self, now: float) -> float:
        return self.power * 1000.0 * self.ramp(now) / self.slow

    @property
    def answers(self) -> bool:
        return self.alive and not self.hangs and not self.silent

    def refresh(self, now: float) -> None:
        """The load report that probes bring from now on."""
        self.reported = (float(len(self.held)), HANGING if self.hangs else self.load / self.capacity(now))

    def weight(self, cores: float) -> float:
        """Its size, lowered by what it holds."""
        return self.size / (1.0 + len(self.held) / cores)

    def message_ms(self, now: float, aim_ms: float) -> float:
        """What a message takes, were its time spread like that of a single queue."""
        return aim_ms / -log(max(1e-9, min(1.0 - self.share_served(now), 1.0 - 1e-9)))

    def filled(self) -> float:
        """Load over the capacity that the list tells of."""
        return self.load / (self.size * 1000.0)

    def share_served(self, now: float) -> float:
        """The share of messages answered in time."""
        if not self.answers:
            return 0.0
        over = self.load / self.capacity(now)
        if over > 1.0:
            return float((1.0 - NEAR_LOSS) * over**-SHARE_POWER)
        return 1.0 - NEAR_LOSS * (max(0.0, over - NEAR) / (1.0 - NEAR)) ** 2

    def set_up_time(self, now: float) -> float:
        busy = min(self.load / self.capacity(now), 0.95)
        pause = max(0.0, self.paused_until - now)
        return pause + self.set_up_ms * self.slow / (self.power * self.ramp(now)) / (1.0 - busy)

    def take(
        self, now: float, connection: Any, load: float, group: int, worth: float = 1.0, usual: float = 0.0
    ) -> bool:
        """A new connection, with its class's usual load if that is told. False where the node takes no more; it may
        fall over by it: the rule counts connections against the rate of them that fills it, not one's luck."""
        if not self.alive or self.state is EndpointState.DRAINING or len(self.held) >= self.most:
            return False
        self._sent(now, usual or load)
        if not self.alive:
            return False
        self.taken += 1
        self.held[connection] = (load, group)
        self.worths[connection] = worth
        self.worth += worth
        self.load += load
        if group:
            held = self.groups.get(group, 0)
            self.groups[group] = held + 1
            self.load += 0.0 if held else self.group_load
        return True

    def _sent(self, now: float, load: float) -> None:
        self.sent.append((now, self.set_up_ms, load))
        self.sent_work += self.set_up_ms
        self.sent_load += load
        while self.sent[0][0] < now - self.fall_ms:
            _, work, brought = self.sent.popleft()
            self.sent_work -= work
            self.sent_load -= brought
        ramp = self.ramp(now)
        if ramp >= 1.0:
            return
        # Two measures, and the stricter one counts: the work asked for now against what it can do now, and new load
        # against what would fill it over its warm-up.
        work = (self.sent_work / self.fall_ms * 1000.0 + self.load) / (self.power * 1000.0 * ramp)
        filling = (self.sent_load / self.fall_ms) / (self.power * 1000.0 * ramp / self.cold_ms)
        ratio = max(work, filling)
        self.cold_ratio_peak = max(self.cold_ratio_peak, ratio)
        if ratio > self.fall_multiple:
            self.alive, self.fallen = False, True

    def change(self, connection: Any, load: float) -> None:
        old, group = self.held[connection]
        self.held[connection] = (load, group)
        self.load += load - old

    def release(self, connection: Any) -> None:
        held = self.held.pop(connection, None)
        if held is None:
            return
        load, group = held
        self.worth -= self.worths.pop(connection, 0.0)
        self.load -= load
        if group:
            self.groups[group] -= 1
            if not self.groups[group]:
                del self.groups[group]
                self.load -= self.group_load
        if not self.held:
            self.load = self.worth = 0.0

    def drop_all(self) -> None:
        """What it held is lost."""
        self.held.clear()
        self.worths.clear()
        self.groups.clear()
        self.load = self.worth = 0.0

    def restart(self, now: float) -> None:
        self.alive, self.fallen, self.state, self.started = True, False, EndpointState.READY, now
        self.hangs = self.silent = False
        self.slow, self.reported = 1.0, ()
        self.drop_all()
        self.sent.clear()
        self.sent_work = self.sent_load = 0.0
