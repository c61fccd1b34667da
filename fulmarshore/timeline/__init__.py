"""Merges and explains the time lines of many processes."""
