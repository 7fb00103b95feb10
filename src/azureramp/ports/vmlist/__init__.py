"""The port to the platform's list of live and leaving VMs."""
