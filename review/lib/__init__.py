"""What the scripts of the review share: a deployment, searchers, clients."""
