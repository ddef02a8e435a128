"""Reads of state: each function answers and changes nothing."""
