"""Routing of packets: each bucket of flows has a home agent, each flow an owner."""
