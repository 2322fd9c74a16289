"""Tools for maintainers; not part of the package."""
