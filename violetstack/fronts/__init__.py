"""Fronts: translate the requests of one client API for the core, and the core's outcomes to responses."""
