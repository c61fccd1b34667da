"""A layer-4 load balancer that keeps established flows and runs work once."""
