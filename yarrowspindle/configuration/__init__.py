"""Shared settings of all relays: committed by controllers, distributed to relays, and applied and confirmed by them."""
