"""Membership and configuration: control hosts, leases, subscribers and views."""
