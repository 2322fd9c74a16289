"""Maintenance: the relays agree on the order in which backends are evacuated and taken out of service.

Without sockets, files or clock. `state` is the state that they replicate with `yarrowspindle.consensus`, `coordinator`
the state machine of one relay. `fleet_health` detects faults that pause maintenance, `evacuation` sets the rate of
migrations, `status_report` is the status for operators. The design is in `docs/design/turns.md`.
"""
