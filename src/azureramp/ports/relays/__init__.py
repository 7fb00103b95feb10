"""Hearing of the store's entries from another VM."""
