"""Commands: functions that change the state and return nothing."""
