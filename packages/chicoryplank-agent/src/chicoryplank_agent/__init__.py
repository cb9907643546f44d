"""Agent daemon of chicoryplank."""
