"""Runs the dispatcher's process: startup, configuration reload, event loop and graceful shutdown."""
