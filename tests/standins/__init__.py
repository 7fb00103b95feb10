"""Tests mirror the source tree."""
