"""Tests of chervilstep, one module for each code module."""
