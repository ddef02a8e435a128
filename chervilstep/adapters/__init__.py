"""I/O and the encoding of messages; decisions are made in other packages."""
