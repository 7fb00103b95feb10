"""Tests of the VM list port."""
