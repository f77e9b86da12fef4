"""Node settings: schema, defaults and checks."""
