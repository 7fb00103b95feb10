"""Tests of the checker."""
