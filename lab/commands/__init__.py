"""Commands: they change the state of stand-ins and return nothing."""
