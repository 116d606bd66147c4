"""The published values in force in this process."""

from collections.abc import Callable

from result import Err, Ok, Result

from foxtailseam.configuration import Revision, RulesDifference, RulesStore
from foxtailseam.hosts import HostList, parse_hosts
from foxtailseam.logs import EventCode
from foxtailseam.publications import Publication, PublicationName, PublicationStore
from foxtailseam.snapshots import SnapshotList, parse_snapshots
from foxtailseam.timeline import Recorder

_ADOPTED_EVENTS = {
    PublicationName.RULES: EventCode.RULES_ACCEPTED,
    PublicationName.SNAPSHOTS: EventCode.SNAPSHOT_ADOPTED,
    PublicationName.HOSTS: EventCode.HOSTS_ADOPTED,
}
_REFUSED_EVENTS = {
    PublicationName.RULES: EventCode.RULES_REFUSED,
    PublicationName.SNAPSHOTS: EventCode.PLATFORM_REFUSED,
    PublicationName.HOSTS: EventCode.PLATFORM_REFUSED,
}


class PublishedState:
    """Holds the rules, snapshots and hosts; their revisions never decrease.

    Parameters
    ----------
    recorder : Recorder
        Records adopted and refused values.
    """

    def __init__(self, recorder: Recorder):
        self.recorder = recorder
        self._rules = RulesStore()
        self._snapshots = PublicationStore(SnapshotList(), parse_snapshots)
        self._hosts = PublicationStore(HostList(), parse_hosts)
        self._refused_numbers: dict[PublicationName, int] = {}
        self._listeners: list[Callable[[PublicationName], None]] = []

    @property
    def rules(self) -> RulesStore:
        """Return the store of the rules."""
        return self._rules

    @property
    def snapshots(self) -> PublicationStore[SnapshotList]:
        """Return the store of the list of snapshots."""
        return self._snapshots

    @property
    def hosts(self) -> PublicationStore[HostList]:
        """Return the store of the list of hosts."""
        return self._hosts

    @property
    def is_complete(self) -> bool:
        """Return whether a published value of each name is in force."""
        return all(self.revision(name).number for name in PublicationName)

    def add_listener(self, listener: Callable[[PublicationName], None]) -> None:
        """Register a callback for adopted values.

        Parameters
        ----------
        listener : callable
            Called after each adoption with the name of the value.
        """
        self._listeners.append(listener)

    def revision(self, name: PublicationName) -> Revision:
        """Return the revision of value `name` that is in force."""
        stores = {
            PublicationName.RULES: self._rules,
            PublicationName.SNAPSHOTS: self._snapshots,
            PublicationName.HOSTS: self._hosts,
        }
        return stores[name].revision

    def last_seen_number(self, name: PublicationName) -> int:
        """Return the highest revision number of value `name` that was read.

        Includes refused values, so that they are not read from the service again.
        """
        return max(self.revision(name).number, self._refused_numbers.get(name, 0))

    def offer(self, publication: Publication) -> Result[bool, str]:
        """Adopt a published value if it is newer and valid, and record the outcome.

        Parameters
        ----------
        publication : Publication
            The published value.

        Returns
        -------
        Result[bool, str]
            Whether the value was adopted, or an error message if it is invalid.
        """
        name = publication.name
        match name:
            case PublicationName.RULES:
                number, text = publication.number, publication.text
                result = self._rules.offer(number, text).map_err(str)
            case PublicationName.SNAPSHOTS:
                result = self._snapshots.offer(publication)
            case PublicationName.HOSTS:
                result = self._hosts.offer(publication)
        match result:
            case Ok(True):
                self._handle_adoption(name)
            case Err(detail):
                self._report_refusal(publication, detail)
        return result

    def merge_rules(self, difference: RulesDifference) -> Result[bool, str]:
        """Adopt a peer's rules if they are newer.

        Parameters
        ----------
        difference : RulesDifference
            The peer's changes since the revision in force, or all its rules.

        Returns
        -------
        Result[bool, str]
            Whether the rules were adopted, or an error message if the difference
            cannot be applied.
        """
        result = self._rules.merge(difference).map_err(str)
        if result == Ok(True):
            self._handle_adoption(PublicationName.RULES)
        return result

    def _handle_adoption(self, name: PublicationName) -> None:
        revision = self.revision(name).number
        self.recorder.record(_ADOPTED_EVENTS[name], name=name, revision=revision)
        for listener in self._listeners:
            listener(name)

    def _report_refusal(self, publication: Publication, detail: str) -> None:
        name, number = publication.name, publication.number
        if self._refused_numbers.get(name, 0) >= number:
            return
        self._refused_numbers[name] = number
        self.recorder.record(
            _REFUSED_EVENTS[name], name=name, revision=number, detail=detail
        )
