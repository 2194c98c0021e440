"""A model of one replicated group: pure replicas under every trouble, with what must hold checked at each step."""
