"""Sockets, links, disks, clocks, metrics and logs behind the ports of the cores."""
