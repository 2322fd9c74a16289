"""Measurements, a module for each subsystem; run as `python -m benchmarks.NAME`. Not part of the package."""
