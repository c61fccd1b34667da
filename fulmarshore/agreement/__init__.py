"""The replicated log: elections, replication, snapshots and its state machine."""
