"""Timers: tokens, and callbacks that run once."""

from __future__ import annotations

from yarrowspindle.decisions.timers import TOKEN_MASK, Timers


def test_a_timer_fires_once_and_an_unknown_token_is_ignored() -> None:
    timers, fired = Timers(), list[str]()
    first = timers.schedule(5.0, lambda: fired.append("first"))
    second = timers.schedule(-1.0, lambda: fired.append("second"))
    assert (first.delay_ms, second.delay_ms) == (5.0, 0.0) and first.token != second.token
    for token in (second.token, second.token, 999, first.token):
        timers.fire(token)
    assert fired == ["second", "first"] and not timers.callbacks


def test_tokens_wrap_around() -> None:
    timers = Timers()
    timers.last_token = TOKEN_MASK
    assert timers.schedule(0.0, lambda: None).token == 0
