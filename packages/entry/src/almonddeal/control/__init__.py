"""The replicated log of the control group and its state machines."""
