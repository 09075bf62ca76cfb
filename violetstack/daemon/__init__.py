"""The life of the process: startup, reload, event loop and shutdown."""
