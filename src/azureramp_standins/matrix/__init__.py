"""Fault matrix: runs every fault at every step under the invariant checker."""
