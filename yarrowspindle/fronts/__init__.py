"""The fronts to which clients connect: the platform's line protocol and QUIC."""
