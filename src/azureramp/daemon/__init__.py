"""The daemon `azurerampd`."""
