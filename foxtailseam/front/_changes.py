"""Applies the configuration service's changes, whichever of them fail."""

from collections.abc import Callable

from foxtailseam.front._configuration import ConfigurationManager
from foxtailseam.logs import EventCode
from foxtailseam.store import Change, Position
from foxtailseam.supervision import FailureLog
from foxtailseam.utils import MAX_TEXT_LENGTH


class ChangeApplier:
    """Passes changes on to the configuration; one that fails stops no later one.

    Parameters
    ----------
    configuration_manager : ConfigurationManager
        Applies the changes.
    failures : FailureLog
        Receives the changes that fail.
    source : callable
        Returns who sent the changes: ``service`` or the address of another host.
    """

    def __init__(
        self,
        configuration_manager: ConfigurationManager,
        failures: FailureLog,
        source: Callable[[], str],
    ):
        self.configuration_manager = configuration_manager
        self.failures = failures
        self.source = source

    def apply(self, change: Change) -> None:
        """Apply a change, or record why that failed."""
        source = self.source()
        try:
            self.configuration_manager.apply_change(change, source)
        except Exception as error:
            self._record(error, change.key, change.position, source)

    def start_era(self, position: Position) -> None:
        """Handle that the service came back from an older copy of its data.

        Parameters
        ----------
        position : Position
            Position of the first listing of the new era.
        """
        try:
            self.configuration_manager.start_era(position)
        except Exception as error:
            self._record(error, "", position, self.source())

    def _record(
        self, error: Exception, key: str, position: Position, source: str
    ) -> None:
        self.failures.record(
            EventCode.CHANGE_FAILED,
            "apply changes",
            error,
            key=key[:MAX_TEXT_LENGTH],
            era=position.era,
            revision=position.revision,
            source=source,
        )
