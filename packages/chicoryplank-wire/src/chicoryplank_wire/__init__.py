"""Messages and clients of chicoryplank."""
