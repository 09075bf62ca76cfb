"""Connections to model hosts, and what travels on them."""
