"""Receiving the store's entries from another VM."""
