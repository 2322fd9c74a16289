"""asyncio protocol classes. They report events to a sink and carry out its instructions; they make no decisions."""
