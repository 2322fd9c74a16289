"""Files that a process must find again after a restart."""
