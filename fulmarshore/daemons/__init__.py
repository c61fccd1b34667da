"""The thin processes around the cores."""
