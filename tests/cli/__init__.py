"""The operator command against stand-in controllers."""
