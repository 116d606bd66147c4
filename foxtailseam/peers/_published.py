"""The published values that this process has in force."""

from collections.abc import Callable

from result import Err, Ok, Result

from foxtailseam.configuration import Revision, RulesDifference, RulesStore
from foxtailseam.hosts import HostList, parse_hosts
from foxtailseam.logs import EventCode
from foxtailseam.publications import Publication, PublicationName, PublicationStore
from foxtailseam.snapshots import SnapshotList, parse_snapshots
from foxtailseam.timeline import Recorder

_ADOPTED = {
    PublicationName.RULES: EventCode.RULES_ACCEPTED,
    PublicationName.SNAPSHOTS: EventCode.SNAPSHOT_ADOPTED,
    PublicationName.HOSTS: EventCode.HOSTS_ADOPTED,
}
_REFUSED = {
    PublicationName.RULES: EventCode.RULES_REFUSED,
    PublicationName.SNAPSHOTS: EventCode.PLATFORM_REFUSED,
    PublicationName.HOSTS: EventCode.PLATFORM_REFUSED,
}


class PublishedState:
    """Rules, snapshots and hosts; each by rising revision.

    Parameters
    ----------
    recorder : Recorder
        Where adoptions and refusals are reported.
    """

    def __init__(self, recorder: Recorder):
        self.recorder = recorder
        self._rules = RulesStore()
        self._snapshots = PublicationStore(SnapshotList(), parse_snapshots)
        self._hosts = PublicationStore(HostList(), parse_hosts)
        self._refused: dict[PublicationName, int] = {}
        self._listeners: list[Callable[[PublicationName], None]] = []

    @property
    def rules(self) -> RulesStore:
        """Return the rules."""
        return self._rules

    @property
    def snapshots(self) -> PublicationStore[SnapshotList]:
        """Return the snapshots."""
        return self._snapshots

    @property
    def hosts(self) -> PublicationStore[HostList]:
        """Return the list of hosts."""
        return self._hosts

    @property
    def is_complete(self) -> bool:
        """Return whether there is a value of each name."""
        return all(self.revision(name).number for name in PublicationName)

    def add_listener(self, listener: Callable[[PublicationName], None]) -> None:
        """Call `listener` after each adoption."""
        self._listeners.append(listener)

    def revision(self, name: PublicationName) -> Revision:
        """Return the revision in force of one value."""
        stores = {
            PublicationName.RULES: self._rules,
            PublicationName.SNAPSHOTS: self._snapshots,
            PublicationName.HOSTS: self._hosts,
        }
        return stores[name].revision

    def known_number(self, name: PublicationName) -> int:
        """Return the number up to which the service need not send the value."""
        return max(self.revision(name).number, self._refused.get(name, 0))

    def offer(self, publication: Publication) -> Result[bool, str]:
        """Adopt a published value if it is newer and valid."""
        name = publication.name
        match name:
            case PublicationName.RULES:
                number, text = publication.number, publication.text
                offered = self._rules.offer(number, text).map_err(str)
            case PublicationName.SNAPSHOTS:
                offered = self._snapshots.offer(publication)
            case PublicationName.HOSTS:
                offered = self._hosts.offer(publication)
        match offered:
            case Ok(True):
                self._adopted(name)
            case Err(detail):
                self._refuse(publication, detail)
        return offered

    def merge_rules(self, difference: RulesDifference) -> Result[bool, str]:
        """Adopt a peer's rules if they are newer."""
        merged = self._rules.merge(difference).map_err(str)
        if merged == Ok(True):
            self._adopted(PublicationName.RULES)
        return merged

    def _adopted(self, name: PublicationName) -> None:
        revision = self.revision(name).number
        self.recorder.record(_ADOPTED[name], name=name, revision=revision)
        for listener in self._listeners:
            listener(name)

    def _refuse(self, publication: Publication, detail: str) -> None:
        name, number = publication.name, publication.number
        if self._refused.get(name, 0) >= number:
            return
        self._refused[name] = number
        self.recorder.record(_REFUSED[name], name=name, revision=number, detail=detail)
