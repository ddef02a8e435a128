"""Everything that does I/O or encodes messages; decides nothing."""
