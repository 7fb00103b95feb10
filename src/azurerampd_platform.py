"""Entry point of the daemon on the users' platform."""

from azureramp.platform import command

if __name__ == "__main__":
    command.main()
