"""The fleet document: schema, validation and patches."""
