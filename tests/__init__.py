"""Tests of azureramp."""
