"""Durable files: state that a process must recover after a restart, with a lock, a checksum and an owner.

`durable_file` writes and reads a file, `file_codec` encodes its content, `voter_file` is the file of a consensus
acceptor.
"""
