"""azureramp: a query tier between callers and an index held in many shards."""
