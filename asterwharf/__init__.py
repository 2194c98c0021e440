"""A cluster scheduler for jobs whose pieces keep working when they lose sight of each other."""
