"""The measurements."""
