"""Parsers and encoders of the network protocols and file formats. Nothing in this package does I/O."""
