"""Tests of several VMs that run in one process."""
