"""Requests that are forwarded to searchers, end to end."""
