"""Calls to searchers."""
