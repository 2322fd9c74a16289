"""The decisions of a relay, a module for each rule; pure functions of events, settings and a seed."""
