"""Forwards callers' requests to searchers unchanged."""
