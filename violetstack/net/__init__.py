"""Thin trio drivers: they read, write, wait and cancel; what bytes mean is decided elsewhere."""
