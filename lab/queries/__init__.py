"""Reads of the state of the stand-ins; they change nothing."""
