"""Composition of the packages into an entry role and a control role."""
