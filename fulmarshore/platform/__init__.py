"""Adapters to the users' platform: its settings, HTTP interfaces and formats."""
