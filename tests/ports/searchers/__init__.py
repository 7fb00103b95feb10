"""Tests of the searchers port."""
