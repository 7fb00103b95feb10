"""Tests of whole VMs in memory."""
