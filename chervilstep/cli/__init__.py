"""Subcommands of the command line interface."""
