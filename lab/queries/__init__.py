"""Queries: they read state or records and change nothing."""
