"""Defects planted into control, each the kind of thing that a review lets pass; the checker must find them."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from yarrowspindle.configuration.agent import Agent
from yarrowspindle.configuration.controller import Controller
from yarrowspindle.configuration.messages import Delta, LatestVersion, Snapshot
from yarrowspindle.configuration.state import ChangeOrder, Check, ControlState, Entries, stepped
from yarrowspindle.consensus.proposer import Proposer
from yarrowspindle.lab.model import planted
from yarrowspindle.lab.model.controlling import ControlParts

# --- the relay ----------------------------------------------------------------------------------


class TakesOlder(Agent):
    """Goes by what its controller has, also where that is older."""

    def _newest(self, message: LatestVersion) -> None:
        if message.version < self.known:
            self.known, self.whole = 0, True


class OverAGap(Agent):
    """Applies the steps that it got, whatever lies before them."""

    def _difference(self, message: Delta) -> None:
        if message.version > self.known:
            entries: Entries = self.entries
            for step in message.steps[max(0, self.known - message.base) :]:
                entries = stepped(entries, step)
            self._learned(message.version, entries, message.digest)


class NoDigest(Agent):
    """Takes what comes out, whatever its digest."""

    def _learned(self, version: int, entries: Entries, wanted: bytes) -> None:
        self.whole = False
        self.known, self.entries, self.digest = version, dict(entries), wanted
        self._take()
        self._again()


class NoCheck(Agent):
    """Serves by whatever was agreed on."""

    def __init__(self, machines: Any, check: Check, *more: Any) -> None:
        super().__init__(machines, lambda entries: "", *more)


class ServesOn(Agent):
    """Says that it serves by what it turned down."""

    def _refused(self, why: str) -> None:
        super()._refused(why)
        self.taken = self.known


# --- the controller -----------------------------------------------------------------------------


class SettlesTwice(Controller):
    """An order that comes again is settled again."""

    def _change(self, state: ControlState) -> ControlState | None:
        found = state
        for _, (order, _) in sorted(self.round.queue.items()):
            found = found.settled(order, self.check) or self._again(found, order) or found
        return found if found.version > state.version else None

    def _again(self, state: ControlState, order: ChangeOrder) -> ControlState | None:
        if not state.is_settled(order):
            return None
        before = (order.incarnation, order.number - 1)
        found = replace(state, takers=dict(state.takers) | {order.taker: before}).settled(order, self.check)
        return found and replace(found, takers=dict(state.takers))


class OutOfTurn(Controller):
    """An order is settled though one before it is not."""

    def _change(self, state: ControlState) -> ControlState | None:
        found = state
        for _, (order, _) in sorted(self.round.queue.items(), reverse=True):
            if not found.is_settled(order):
                takers = dict(found.takers) | {order.taker: (order.incarnation, order.number - 1)}
                found = replace(found, takers=takers).settled(order, self.check) or found
        return found if found.version > state.version else None


class NoCheckAgain(Controller):
    """What was checked at the door is not checked on the state that it is written into."""

    def _change(self, state: ControlState) -> ControlState | None:
        check, self.check = self.check, lambda entries: ""
        found = super()._change(state)
        self.check = check
        return found


class LogOverAGap(Controller):
    """The steps that it knows are sent, also where one between them is missing."""

    def _steps(self, base: int) -> object:
        found = super()._steps(base)
        if isinstance(found, Snapshot) and base >= 0:
            steps = [self.log[n] for n in range(base + 1, self.taken.version + 1) if n in self.log]
            found = Delta(base, self.taken.version, self.digest, [dict(step) for step in steps][-64:])
        return found


class PushesProposals(Controller):
    """What voters have accepted may be told already, it thinks."""

    def _carry_out(self, effects: Any) -> None:
        super()._carry_out(effects)
        if self.proposer.round is not None and self.proposer.round.accepted_by:
            self.proposer.on_committed(self.proposer.round.proposed or self.taken)
            self._take()


class SaysTooEarly(Controller):
    """A version is in force when all relays of the controllers that are heard have it, whoever came or went."""

    def shown(self, own: Any = None) -> Any:
        self.sure_at = self.now
        return super().shown(own)


class ForgetsWhoLeaves(Controller):
    """A relay that leaves is in no sum until its next controller has told of it."""

    def _leave(self, sender: Any, message: object) -> None:
        super()._leave(sender, message)
        if sender.address in self.relays and self.relays[sender.address].left:
            del self.relays[sender.address]


class NumbersAnewTooSoon(Controller):
    """Orders get new numbers before it is looked up whether they stand under the old ones."""

    def _settle(self) -> None:
        incarnation, _ = self.taken.takers.get(self.me.name, (0, 0))
        if incarnation > self.incarnation:
            self._renumber(incarnation + 1)
        super()._settle()


class BelievesOne(Proposer[ControlState]):
    """Takes a state for committed that a single voter has accepted."""

    def _on_promise(self, now: Any, source: str, promise: Any) -> Any:
        self.on_committed(promise.state)
        return super()._on_promise(now, source, promise)


def _part(kind: Any) -> Any:
    """Of the register: the same for any state."""
    return kind


DEFECTS: dict[str, ControlParts] = {
    "forgets": ControlParts(forgets=True),
    "lies": ControlParts(lies=True),
    "unkept": ControlParts(unkept=True),
    "older": ControlParts(agent=TakesOlder),
    "gap": ControlParts(agent=OverAGap),
    "digest": ControlParts(agent=NoDigest),
    "unchecked": ControlParts(agent=NoCheck),
    "serves on": ControlParts(agent=ServesOn),
    "twice": ControlParts(controller=SettlesTwice),
    "out of turn": ControlParts(controller=OutOfTurn),
    "not checked again": ControlParts(controller=NoCheckAgain),
    "log over a gap": ControlParts(controller=LogOverAGap),
    "uncommitted": ControlParts(controller=PushesProposals),
    "in force too early": ControlParts(controller=SaysTooEarly),
    "forgets who leaves": ControlParts(controller=ForgetsWhoLeaves),
    "numbers anew": ControlParts(controller=NumbersAnewTooSoon),
    "believes one voter": ControlParts(proposer=BelievesOne),
    "believes proposals": ControlParts(proposer=_part(planted.BelievesTooEarly)),
    "not adopted": ControlParts(proposer=_part(planted.TrustsItself)),
    "oldest promise": ControlParts(proposer=_part(planted.TakesTheOldest)),
    "half": ControlParts(proposer=_part(planted.LessThanHalf)),
    "counts twice": ControlParts(proposer=_part(planted.CountsTwice)),
    "any ballot": ControlParts(proposer=_part(planted.AnyBallot)),
    "breaks promises": ControlParts(voter=_part(planted.BreaksPromises)),
    "promises nothing": ControlParts(voter=_part(planted.PromisesNothing)),
    "hides": ControlParts(voter=_part(planted.HidesWhatItAccepted)),
}
