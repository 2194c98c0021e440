"""Replicated groups: elections, log replication, snapshots and membership changes."""
