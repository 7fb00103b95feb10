"""Requests that are forwarded to searchers as they come."""
