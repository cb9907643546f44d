"""Messages, clients and connections of chicoryplank."""
