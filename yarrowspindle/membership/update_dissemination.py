"""Applies membership updates and this relay's own observations, and logs, counts and gossips the resulting changes."""

from __future__ import annotations

from yarrowspindle.membership.context import MembershipContext
from yarrowspindle.membership.failure_detector import MAX_HELPERS
from yarrowspindle.membership.members import MemberChange
from yarrowspindle.membership.messages import MembershipUpdate, MemberState

STATE_DESCRIPTIONS = {
    MemberState.ALIVE: "is present",
    MemberState.SUSPECT: "is present",
    MemberState.DEAD: "is dead: it does not respond",
    MemberState.LEFT: "has left",
}


class UpdateDissemination:
    """Dispatcher of updates to the membership table, the failure detector and the load signals."""

    def __init__(self, context: MembershipContext) -> None:
        self._context = context

    def apply(self, update: MembershipUpdate) -> None:
        """Apply an update that a peer sent."""
        context = self._context
        was_superseded = context.members.superseded
        change = context.members.apply(update, context.now)
        if update.state == MemberState.SUSPECT and self._record_shared_suspicion(update) and change is None:
            # One more relay shares the suspicion; gossiping this shortens the suspicion at other relays too.
            context.members.enqueue_update(update)
        if change is not None:
            self._announce(change)
        elif context.members.superseded and not was_superseded:
            context.log(
                f"another relay at {update.host}:{update.port} has the name {update.name} and started later: "
                "this relay neither probes its peers nor reports its load to them until that relay has ended; "
                "give each relay a unique name"
            )

    def suspect(self, name: str) -> None:
        """Suspect a member that did not answer a probe of this relay."""
        context = self._context
        member = context.members.table.get(name)
        if member is None or not member.present:
            return
        local_name = context.members.local.name
        change = context.members.apply_local_observation(name, MemberState.SUSPECT, context.now)
        if context.detector.add_suspicion(name, member.incarnation, member.refutations, local_name, context.now):
            context.counts["suspicions"] += 1
            context.log(
                f"relay {name} is suspected: no answer to a probe, directly or through up to {MAX_HELPERS} peers"
            )
            if change is None:  # a peer suspected it before
                context.members.enqueue_update(member.to_update(local_name))
        if change is not None:
            self._announce(change)

    def expire_suspicions(self) -> None:
        """Declare members dead whose suspicion was not refuted in time."""
        context = self._context
        for name in context.detector.expired_suspicions(context.members.size, context.now):
            context.detector.clear_suspicion(name)
            change = context.members.apply_local_observation(name, MemberState.DEAD, context.now)
            if change is not None:
                self._announce(change)

    def _record_shared_suspicion(self, update: MembershipUpdate) -> bool:
        """Record the relay that shares a suspicion of a member, and return whether this relay did not know that yet."""
        context = self._context
        member = context.members.table.get(update.name)
        if member is None or member.state != MemberState.SUSPECT or not update.suspected_by:
            return False
        if (member.incarnation, member.refutations) != (update.incarnation, update.refutations):
            return False
        return context.detector.add_suspicion(
            update.name, update.incarnation, update.refutations, update.suspected_by, context.now
        )

    def _announce(self, change: MemberChange) -> None:
        context = self._context
        member = change.member
        if member is context.members.local:
            self._announce_refutation(change)
            return
        context.counts[member.state.label] += 1
        if member.state != MemberState.SUSPECT:
            context.detector.clear_suspicion(member.name)
        if not member.present or change.new_incarnation:
            context.signals.remove(member.name)
        if change.new_incarnation and change.was_present:
            context.log(f"relay {member.name} has restarted")
        elif member.present != change.was_present:
            description = STATE_DESCRIPTIONS[member.state]
            context.log(f"relay {member.name} {description}; members: {context.members.describe()}")

    def _announce_refutation(self, change: MemberChange) -> None:
        if change.previous_state in (MemberState.SUSPECT, MemberState.DEAD):
            # Peers did not receive this relay's answers in time: it may itself be slow.
            self._context.detector.adjust_health(1)
            self._context.counts["refuted"] += 1
