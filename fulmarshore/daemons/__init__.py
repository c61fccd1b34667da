"""Daemons: the processes that run the pure cores on real sockets and disks."""
