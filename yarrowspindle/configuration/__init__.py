"""Changes of configuration for all relays: agreed on by controllers, down to each relay, confirmed upwards. Pure."""
