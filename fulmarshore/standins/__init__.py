"""Models of the systems around fulmarshore, for tests, the demo and benches.

Simulated networks and disks drive the cores in simulated time; the fabric,
upstreams, callers and relays of this package use real sockets on loopback.
"""
