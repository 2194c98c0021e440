"""The planned size of the users' platform, played on one machine: a bench, which no part of the product imports."""
