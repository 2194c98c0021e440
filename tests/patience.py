"""How long tests of whole processes wait for a condition."""

# seconds; far beyond every bound that a test means to check, so that on a busy machine only what never comes fails
PATIENCE = 180
