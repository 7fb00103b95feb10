"""Tests of the test doubles and their tools."""
