"""The replicated log of the control group, and the state machine of entry instances."""
