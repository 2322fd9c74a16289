"""Runnable examples, which are not part of the package."""
