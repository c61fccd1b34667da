"""A small fabric, upstreams and callers for tests and the demo."""
