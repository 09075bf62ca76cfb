"""The same verdict every time: no property test fails for a slow machine, or for another draw."""

from hypothesis import settings

settings.register_profile("one verdict", deadline=None, derandomize=True)
settings.load_profile("one verdict")
