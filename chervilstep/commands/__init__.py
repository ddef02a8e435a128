"""Changes of state: each function acts on state and returns nothing."""
