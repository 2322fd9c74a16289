"""Durable files: what a process must find again after a restart, with a lock, a checksum and an owner.

`durable_file` writes and reads a file, `file_codec` gives its bytes, `voter_file` is the file of a consensus acceptor.
"""
