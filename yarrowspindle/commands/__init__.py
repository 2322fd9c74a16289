"""The operators' commands: what is typed, and what is printed. Nothing is decided here."""
