"""Tests of the store port."""
