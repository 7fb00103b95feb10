"""azureramp: a query tier between callers and a sharded index."""
