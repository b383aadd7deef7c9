"""The fleet document: its schema, its cross-checks and its differences."""
