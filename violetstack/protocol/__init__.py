"""State machines that are fed bytes and know no socket."""
