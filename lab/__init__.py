"""Experiments: stand-ins, load and fault schedules over loopback."""
