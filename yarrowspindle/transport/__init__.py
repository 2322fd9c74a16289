"""asyncio protocol classes. They report what happened, carry out what they are told, and decide nothing."""
