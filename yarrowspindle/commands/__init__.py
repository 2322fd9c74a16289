"""The operators' commands: they parse arguments, call the API of a running process and print its response."""
