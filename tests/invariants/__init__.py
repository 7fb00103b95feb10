"""Tests of the invariant checker."""
