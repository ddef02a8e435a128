"""Translates between the users' platform and chervilstep, and no more."""
