"""Experiments with stand-ins, generated load and faults over loopback."""
