"""What a relay decides, one module for each kind of decision. Pure; imports go down only."""
