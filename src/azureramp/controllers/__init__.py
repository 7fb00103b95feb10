"""Controllers: they read and write the blackboard and call the policies."""
