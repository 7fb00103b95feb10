"""Soak test: real daemon processes under randomized external faults."""
