"""The replicated log of accepted changes."""
