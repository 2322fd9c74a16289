"""Whether and where a request may be tried again: what may have run, within which window, at which servers."""

from __future__ import annotations

from math import inf

from yarrowspindle.decisions import request_gate as gate
from yarrowspindle.decisions.backends import Job, Server
from yarrowspindle.decisions.rejection import Refusal
from yarrowspindle.decisions.settings import Group, RequestClass, Settings
from yarrowspindle.decisions.weighted_ring import Ring

RETRY_PART = 0.2  # other attempts allowed at once for each connection set up: retries add a fifth at most
SPARE_MOST = 2.0  # and saved up for later


class RetryBudget:
    """Other attempts that may go out at once; without one they wait, since what many servers share has failed."""

    def __init__(self) -> None:
        self.spare = SPARE_MOST

    def earn(self) -> None:
        """A connection was set up."""
        self.spare = min(self.spare + RETRY_PART, SPARE_MOST)

    def spend(self, free: bool) -> bool:
        """Whether another attempt may go out at once. free: the last one was never sent, so this one costs nothing."""
        if free:
            return True
        if self.spare < 1.0:
            return False
        self.spare -= 1.0
        return True


def repeat_within(job: Job, settings: Settings, now: float) -> float:
    """Milliseconds within which a further attempt has to begin, so that it is known as a repeat where it arrives."""
    cls = settings.classes[job.cls]
    ran_at = job.ran_at if job.ran_on is not None else None
    return gate.repeat_within(cls.effect, ran_at, cls.window_ms, settings.tick_ms + settings.answer_slack_ms, now)


def may_attempt(job: Job, settings: Settings, now: float) -> Refusal | None:
    """One more attempt of the request, wherever."""
    made = gate.may_attempt(job.attempts, min(job.most, settings.max_attempts), now, job.deadline)
    if made or job.ran_on is None:
        return made
    return gate.may_repeat(settings.classes[job.cls].effect, repeat_within(job, settings, now))


def repeat_group(job: Job, ran_on: Server, cls: RequestClass, within_ms: float, pool: list[Server]) -> Ring[Server]:
    """The servers that drop a repeat of a request which may have run on `ran_on`."""
    ring = Ring[Server]()
    for server in pool if within_ms > 0.0 else ():
        same_zone, same_cell = server.zone == ran_on.zone, server.cell == ran_on.cell
        if cls.group is Group.ALL or (same_zone if cls.group is Group.ZONE else same_cell):
            ring.put(server)
    return ring


def least_wait(job: Job, settings: Settings, until: float, now: float) -> float:
    """How long the request may still wait before its next attempt has to begin; `until` bounds it too."""
    left = min(job.deadline - settings.tick_ms, until) - now
    return min(left, repeat_within(job, settings, now), inf)
