"""Changes of the state of the stand-ins; they return nothing."""
