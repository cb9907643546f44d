"""Entry daemon and operator commands of chicoryplank."""
