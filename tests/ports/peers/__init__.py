"""Tests of the peers port."""
