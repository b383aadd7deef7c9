"""The command line of almonddeal."""
