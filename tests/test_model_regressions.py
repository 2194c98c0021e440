"""Faults that the model found, each brought about by hand on one replica or a small cluster."""

import random

from asterwharf.sim.model import adapter
from asterwharf.sim.model.driver import PROFILES, Driver
from asterwharf.sim.model.register import Register, order
