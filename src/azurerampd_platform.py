"""Starts the daemon on the users' platform."""

from azureramp.platform import program

if __name__ == "__main__":
    program.main()
