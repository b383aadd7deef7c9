"""The replicated log of the control group and the state it builds."""
