"""Thin I/O drivers on trio: they read, write, wait and cancel. Other packages interpret the data."""
