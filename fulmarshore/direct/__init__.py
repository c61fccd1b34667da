"""Flows whose packets carry their own addresses, answered straight to the caller."""
