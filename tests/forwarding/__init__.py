"""End-to-end tests of requests that are forwarded to searchers."""
