"""The trace writes a line for each step of a request."""

from __future__ import annotations

from yarrowspindle.routing.effects import ForwardRequest, OpenBackendConnection, RejectRequest, StartRelaying
from yarrowspindle.routing.events import AttemptEnded, RequestReceived
from yarrowspindle.routing.termination import TerminationReason
from yarrowspindle.telemetry.trace import Trace

ADDRESS = ("127.0.0.1", 1)


def test_each_line_of_the_trace_names_the_request_from_its_arrival_to_its_end() -> None:
    lines: list[str] = []
    trace = Trace(lines.append)
    for step in (
        RequestReceived(1, 900.0, client_request_id="id-1"),
        OpenBackendConnection(1, 0, "s-1", ADDRESS, 250.0),
        ForwardRequest(1, 0, 900.0),
        AttemptEnded(1, 0, TerminationReason.REJECTED),
        OpenBackendConnection(1, 1, "s-2", ADDRESS, 9.0),
        StartRelaying(1),
    ):
        if isinstance(step, RequestReceived | AttemptEnded):
            trace.on_event(step)
        else:
            trace.on_effect(step)
    assert all(line.startswith("request=id-1 number=1 ") for line in lines) and len(lines) == 6
    assert "retry_reason=turned_away" in lines[4]
    trace.on_effect(RejectRequest(1, 250.0))
    assert trace.open_requests == 0


def test_a_new_attempt_names_the_endpoint_list_that_it_was_placed_by() -> None:
    lines: list[str] = []
    trace = Trace(lines.append, lambda: "list_version=41 list_age_ms=230")
    trace.on_effect(OpenBackendConnection(1, 0, "s-1", ADDRESS, 250.0))
    trace.on_effect(ForwardRequest(1, 0, 900.0))
    assert lines[0].endswith("list_version=41 list_age_ms=230") and "list_version" not in lines[1]
