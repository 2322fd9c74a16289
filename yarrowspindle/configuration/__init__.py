"""Distribution of the settings that all relays share: committed by controllers, applied and confirmed by relays."""
