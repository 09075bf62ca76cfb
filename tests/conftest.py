"""Settings of all tests: property tests draw the same examples in every run and have no time limit.

So the outcome of a property test depends neither on a random seed nor on the speed of the machine.
"""

from hypothesis import settings

from violetstack.net.downstream.connection_lifecycle import ConnectionLifecycle

settings.register_profile("deterministic", deadline=None, derandomize=True)
settings.load_profile("deterministic")

# An event that is invalid in a connection's state raises an error in tests; the service only logs it.
ConnectionLifecycle.strict = True
