"""The fault matrix: every fault at every step, checked by one checker."""
