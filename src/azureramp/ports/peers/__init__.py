"""The peers port: messages between the daemons."""
