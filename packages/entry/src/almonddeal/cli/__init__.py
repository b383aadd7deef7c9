"""Command line of almonddeal."""
