"""The searchers port: calls and health reads."""
