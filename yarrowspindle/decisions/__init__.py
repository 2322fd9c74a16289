"""The decisions of a balancer, one module per rule; deterministic in events, settings and seed, without I/O."""
