"""The operators' counters, derived from the reducer's events and effects.

Each received request is counted once in `taken` and, when it gets its final answer, once in one of `success`
(established), `busy` (rejected) or `failure`; if its client disconnects before, it is counted in `abandoned`. For each
class it always holds that taken = success + busy + failure + abandoned + waiting. The counts start at 0 with the
process; a class that is removed from the settings keeps its counts.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping

from yarrowspindle.decisions.events import EndpointState
from yarrowspindle.routing.effects import Effect, FailRequest, ForwardRequest, RejectRequest, StartRelaying
from yarrowspindle.routing.events import ClientDisconnected, Event, RequestReceived
from yarrowspindle.routing.reducer import Reducer

ANSWER_FIGURES: Mapping[type, str] = {StartRelaying: "success", RejectRequest: "busy", FailRequest: "failure"}

MAX_CLASSES = 256  # class names that are counted separately during a process's lifetime
OTHER_CLASSES = "other"  # counts all further class names together


class Telemetry:
    """Counters of requests by class.

    Args:
        reducer: the reducer, for the current numbers of requests and backends.
        class_name: returns the name of a request class by its number.

    Attributes:
        counts: counts by `FIGURE.CLASS`, or by the figure's name alone.
        waiting: class name of each request without a final answer; bounded by the number of the reducer's requests.
    """

    def __init__(self, reducer: Reducer, class_name: Callable[[int], str]) -> None:
        self.counts: Counter[str] = Counter()
        self.waiting: dict[int, str] = {}
        self._reducer = reducer
        self._class_name = class_name
        self._class_names: dict[str, None] = {}  # an ordered set; by name, since class numbers are reused

    def on_event(self, event: Event) -> None:
        """Count an event."""
        if isinstance(event, RequestReceived):
            name = self._counted_class(event.request_class)
            self.waiting[event.request] = name
            self.counts[f"taken.{name}"] += 1
        elif isinstance(event, ClientDisconnected):
            self._count_answer("abandoned", event.request)

    def on_effect(self, effect: Effect) -> None:
        """Count an effect."""
        kind = type(effect)
        if kind is ForwardRequest:
            self.counts["backend_calls"] += 1
            return
        figure = ANSWER_FIGURES.get(kind)
        if figure is not None:
            self._count_answer(figure, effect.request)  # type: ignore[union-attr]  # all three effects have a request

    def on_configuration_reloaded(self, applied: bool) -> None:
        """Count a reload of the configuration."""
        self.counts["reconfig_ok" if applied else "reconfig_failed"] += 1

    def _counted_class(self, number: int) -> str:
        """Return the name under which a class is counted."""
        name = self._class_name(number)
        if name not in self._class_names:
            name = name if len(self._class_names) < MAX_CLASSES else OTHER_CLASSES
            self._class_names[name] = None
        return name

    def _count_answer(self, figure: str, request: int) -> None:
        name = self.waiting.pop(request, None)
        if name is not None:
            self.counts[f"{figure}.{name}"] += 1

    def figures(self) -> dict[str, int]:
        """Return the current figures by their published names."""
        figures: dict[str, int] = {}
        for name in self._class_names:
            for figure in ANSWER_FIGURES.values():
                figures[f"{figure}.{name}"] = self.counts[f"{figure}.{name}"]
        figures["backend_calls"] = self.counts["backend_calls"]
        figures["inflight"] = len(self._reducer.requests)
        figures |= self._backend_figures()
        figures["reconfig_ok"] = self.counts["reconfig_ok"]
        figures["reconfig_failed"] = self.counts["reconfig_failed"]
        return figures

    def _backend_figures(self) -> dict[str, int]:
        reducer = self._reducer
        ejected = reducer.balancer.ejected(reducer.now)
        listed = [backend for backend in reducer.backends.values() if backend.state is not EndpointState.GONE]
        unavailable = [
            backend for backend in listed if backend.state is not EndpointState.READY or backend.number in ejected
        ]
        return {"hosts_listed": len(listed), "hosts_down": len(unavailable)}

    def text(self) -> str:
        """Return all figures, one `name=value` per line."""
        return "".join(f"{name}={value}\n" for name, value in self.figures().items())
