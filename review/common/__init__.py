"""Stand-ins and the harness that the cases share."""
