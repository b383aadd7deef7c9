"""Programs built from the slices: an entry role and a control role."""
