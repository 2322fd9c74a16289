"""Record the sequence of events of a reducer, replay it, and compare the choices that the reducer makes."""

from yarrowspindle.replay.player import Played, play_daemon, play_library
from yarrowspindle.replay.sequence import Header, Recorder, SequenceError, read_sequence

__all__ = ["Header", "Played", "Recorder", "SequenceError", "play_daemon", "play_library", "read_sequence"]
