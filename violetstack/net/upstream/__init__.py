"""Connections to model hosts, and the requests and calls made on them."""
