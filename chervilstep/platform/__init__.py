"""Adapts the users' platform to chervilstep: store, headers and endpoints."""
