"""Tests of the daemon as a process."""
