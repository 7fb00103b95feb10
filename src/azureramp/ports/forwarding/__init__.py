"""Calls to searchers that carry a caller's request unchanged."""
