"""Build tools for the distributed binary."""
