"""Tests of chervilstep."""
