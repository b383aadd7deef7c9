"""The entry instance of almonddeal and the command line for its operators."""
