"""The replicated state machine of the core group: configuration, cell directory, memory of accepted orders. Pure."""
