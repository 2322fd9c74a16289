"""Backends out of service for maintenance, one after the other, as the relays agree. Pure: no sockets, files or clock.

`state` is what they agree on, by the register of `yarrowspindle.consensus`; `coordinator` is one relay's part in it.
`fleet_health` says when nothing should leave, `evacuation` how fast connections leave, `status_report` what operators
are shown. The design is in `docs/design/turns.md`.
"""
