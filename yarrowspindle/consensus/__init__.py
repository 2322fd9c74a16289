"""A register of whole states that a majority of voters agrees on."""
