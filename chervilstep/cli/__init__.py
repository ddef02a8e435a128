"""The subcommands of the command line."""
