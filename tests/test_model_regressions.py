"""Faults that the model found, each brought about by hand on one replica or a small cluster."""
