"""The path of a packet: buckets, rows, homes, owners."""
