"""The process of almonddeal that runs beside each target."""
