"""Requests, attempts and outcomes. Knows no wire, no socket and no clock of its own."""
