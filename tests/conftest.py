"""The same verdict every time: no property test fails for a slow machine, or for another draw."""

from hypothesis import settings

from violetstack.net.downstream.connection_lifecycle import ConnectionLifecycle

settings.register_profile("one verdict", deadline=None, derandomize=True)
settings.load_profile("one verdict")

ConnectionLifecycle.strict = True  # in service an event that a connection's state does not know is logged
