"""The laboratory: simulations and process tests of the relay's code. A running relay imports nothing from here."""
