"""Stand-ins for the platform and the load tool; for tests only."""
