"""The agent: the almonddeal process that runs beside each target."""
