"""Adapter between the simulator's wire format and the balancer."""
