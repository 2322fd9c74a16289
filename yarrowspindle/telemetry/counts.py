"""The operators' figures, fed by the events that the reducer is told and the effects that it asks for.

Each connection that is taken is counted once in `taken` and, once it has its final answer, once in one of `success`
(brought up: `Join`), `busy` (`Requeue`) or `failure` (`Deny`); one that its submitter leaves first is `abandoned`.
So for each class, at every moment: taken = success + busy + failure + abandoned + waiting. The counts start with the
process; a class that vanishes from the settings keeps its counts.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.routing.effects import Effect, FailRequest, ForwardRequest, RejectRequest, StartRelaying
from yarrowspindle.routing.events import ClientDisconnected, Event, RequestReceived
from yarrowspindle.routing.reducer import Reducer

OUTCOMES = {StartRelaying: "success", RejectRequest: "busy", FailRequest: "failure"}
FIGURES = ("success", "busy", "failure")

MAX_CLASSES, OTHER = 256, "other"  # names of classes told apart in a process's life; later ones are counted together


class Telemetry:
    def __init__(self, reducer: Reducer, class_name: Callable[[int], str]) -> None:
        self.reducer, self.class_name = reducer, class_name
        self.counts: Counter[str] = Counter()  # name.class or name
        # Job -> the name of its class, taken and not answered yet; bounded by the reducer's jobs.
        self.waiting: dict[int, str] = {}
        self.classes: dict[str, None] = {}  # every class that was ever seen, by its name: numbers are used again

    def event(self, event: Event) -> None:
        if isinstance(event, RequestReceived):
            name = self.class_name(event.cls)
            if name not in self.classes:
                name = name if len(self.classes) < MAX_CLASSES else OTHER
                self.classes[name] = None
            self.waiting[event.request] = name
            self.counts[f"taken.{name}"] += 1
        elif isinstance(event, ClientDisconnected):
            self._count("abandoned", event.request)

    def effect(self, effect: Effect) -> None:
        kind = type(effect)
        if kind is ForwardRequest:
            self.counts["backend_calls"] += 1
            return
        figure = OUTCOMES.get(kind)
        if figure is not None:
            self._count(figure, effect.request)  # type: ignore[union-attr]  # all three are of a job

    def reloaded(self, taken: bool) -> None:
        self.counts["reconfig_ok" if taken else "reconfig_failed"] += 1

    def _count(self, figure: str, request: int) -> None:
        name = self.waiting.pop(request, None)
        if name is not None:
            self.counts[f"{figure}.{name}"] += 1

    def figures(self) -> dict[str, int]:
        """All figures as of now, in the operators' names."""
        reducer = self.reducer
        found: dict[str, int] = {}
        for name in self.classes:
            for figure in FIGURES:
                found[f"{figure}.{name}"] = self.counts[f"{figure}.{name}"]
        listed = [backend for backend in reducer.backends.values() if backend.state is not EndpointState.GONE]
        avoided = reducer.balancer.ejected(reducer.now)
        found |= {
            "backend_calls": self.counts["backend_calls"],
            "inflight": len(reducer.requests),
            "hosts_listed": len(listed),
            "hosts_down": sum(
                1 for backend in listed if backend.state is not EndpointState.READY or backend.number in avoided
            ),
            "reconfig_ok": self.counts["reconfig_ok"],
            "reconfig_failed": self.counts["reconfig_failed"],
        }
        return found

    def text(self) -> str:
        return "".join(f"{name}={value}\n" for name, value in self.figures().items())
