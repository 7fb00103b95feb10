"""Stand-ins for the platform and the searchers, for demo and tests."""
