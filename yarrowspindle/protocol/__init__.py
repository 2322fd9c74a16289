"""Parsing and writing of what is spoken on the network. Nothing here does I/O."""
