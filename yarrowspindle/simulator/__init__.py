"""The balancer on the simulator's wire."""
