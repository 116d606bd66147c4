"""Settings of the tests."""

from hypothesis import settings

# Properties are not checks of time: an example may take long on a busy machine.
settings.register_profile("untimed", deadline=None)
settings.load_profile("untimed")
