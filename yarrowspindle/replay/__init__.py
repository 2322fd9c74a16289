"""Recorded sequences of the events of a reducer, and its choices when the same events are played again."""

from yarrowspindle.replay.player import Played, play_daemon, play_library
from yarrowspindle.replay.sequence import Header, Recorder, SequenceError, read_sequence

__all__ = ["Header", "Played", "Recorder", "SequenceError", "play_daemon", "play_library", "read_sequence"]
