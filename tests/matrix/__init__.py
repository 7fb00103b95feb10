"""Tests of every fault at every step of requests, changes and restarts."""
