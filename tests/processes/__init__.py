"""Tests with processes of the real daemon."""
