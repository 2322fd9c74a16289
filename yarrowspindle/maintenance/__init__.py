"""Turns for machines out for work: the relays settle the order among themselves. Pure: no sockets, no files, no clock.

Not wired into the daemon yet; `docs/design/turns.md` says what stands.
"""
