"""Trials on the users' bench: pairs of variants of the sources over sites, days and seeds, and what came of them."""
