"""What a leader does for each request that reaches it, by job. Pure."""
