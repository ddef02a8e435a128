"""Queries: functions that read the state and change nothing."""
