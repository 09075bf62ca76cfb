"""Fronts: a wire's requests into the core's, the core's outcomes into that wire's answers."""
