"""Holds this host's active configuration and its catalogue of searchers."""

import random
from collections.abc import Callable

from foxtailseam.catalogue import Catalogue, SearcherEntry
from foxtailseam.clocks import Clock
from foxtailseam.dispatch import Dispatcher
from foxtailseam.front._evacuation import EvacuationManager
from foxtailseam.front._refusal_log import RefusalLog
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.platform import (
    CONFIGURATION_KEY,
    decode_configuration,
    decode_entry,
    evacuated_domain_from_key,
    searcher_id_from_key,
)
from foxtailseam.routing import (
    Configuration,
    Route,
    RouteTable,
    WeightedRoundRobin,
    WeightedServices,
)
from foxtailseam.store import START, Change, Item, Position, Removal


class ConfigurationManager:
    """Decodes changes from the configuration service and applies them.

    It also receives the catalogue's events and forwards them to the dispatcher.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher that is updated with services and searchers.
    clock : Clock
        Source of time.
    log : LogWriter
        Log that receives an event for each change.
    generator : random.Random
        Source of the random start of each weighted round robin.
    on_configuration : callable
        Called with each configuration once it is active.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Clock,
        log: LogWriter,
        generator: random.Random,
        on_configuration: Callable[[Configuration], None],
    ):
        self.dispatcher = dispatcher
        self.clock = clock
        self.log = log
        self.generator = generator
        self.on_configuration = on_configuration
        self.catalogue = Catalogue(clock, self)
        self.evacuation = EvacuationManager(dispatcher, clock, log, self._known_domains)
        self._refusal_log = RefusalLog(log, clock)
        self._configuration: Configuration | None = None
        self._route_table = RouteTable(())
        self._round_robins: dict[WeightedServices, WeightedRoundRobin] = {}
        self._activated_at = 0.0
        # Position of the listing that started the current era; START in the first one.
        self._restored_until = START

    @property
    def configuration(self) -> Configuration | None:
        """Return the active configuration; None before the first one."""
        return self._configuration

    @property
    def version(self) -> int:
        """Return the version of the active configuration; 0 before the first one."""
        return self._configuration.version if self._configuration else 0

    @property
    def age(self) -> float:
        """Return the seconds since the configuration became active on this host."""
        return self.clock.monotonic() - self._activated_at

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None if no route matches.

        Parameters
        ----------
        host : str
            Value of the request's Host header.
        path : str
            Path of the request, without its query.
        """
        return self._route_table.find(host, path)

    def choose_service(self, destination: WeightedServices) -> str | None:
        """Return the service for the next request of a weighted route.

        Returns None if no service has a weight above 0.
        """
        round_robin = self._round_robins.get(destination)
        if round_robin is None:
            round_robin = WeightedRoundRobin(destination, self.generator)
            self._round_robins[destination] = round_robin
        return round_robin.next()

    def apply_change(self, change: Change, source: str = "service") -> None:
        """Apply a change of one key of the configuration service.

        Parameters
        ----------
        change : Change
            New value of a key, or its removal.
        source : str
            Who sent the change: ``service`` or the address of another host.
        """
        identifier = searcher_id_from_key(change.key)
        domain = evacuated_domain_from_key(change.key)
        match change:
            case Item(key=key, value=value) if key == CONFIGURATION_KEY:
                self._apply_configuration(value, change.position, source)
            case Item() if identifier is not None:
                self._apply_entry(identifier, change)
            case Removal() if identifier is not None:
                self._refusal_log.forget(change.key)
                self.catalogue.mark_missing(identifier)
            case Item(position=position) if domain is not None:
                self.evacuation.issue(domain, position, source)
            case Removal(position=position) if domain is not None:
                self.evacuation.revoke(domain, position, source)
            case _:
                # Keys that this system does not use.
                pass

    def start_era(self, position: Position) -> None:
        """Handle that the service came back from an older copy of its data.

        Entries up to `position` may be older than what is known of their searchers;
        those that are missing get the grace period of an outage, and so do orders to
        evacuate a failure domain.

        Parameters
        ----------
        position : Position
            Position of the first listing of the new era.
        """
        self._restored_until = position
        self.catalogue.service_recovered()
        self.evacuation.start_era()

    def searcher_changed(self, entry: SearcherEntry) -> None:
        """Add or update a searcher in the dispatcher."""
        code = EventCode.SEARCHER_JOINED
        if entry.is_draining:
            code = EventCode.SEARCHER_LEAVING
        self.log.write(
            code,
            searcher=entry.identifier,
            service=entry.service,
            address=entry.address,
            warmup_ms=int(entry.warmup.total_seconds() * 1000),
        )
        self.dispatcher.update_searcher(entry)

    def searcher_lapsed(self, identifier: str, is_lapsed: bool) -> None:
        """Mark a searcher as lapsed, so that it is used only as a last resort.

        Parameters
        ----------
        identifier : str
            Identifier of the searcher.
        is_lapsed : bool
            True when the searcher's entry went missing, False when it came back.
        """
        code = EventCode.SEARCHER_LAPSED if is_lapsed else EventCode.SEARCHER_BACK
        self.log.write(code, searcher=identifier)
        self.dispatcher.set_lapsed(identifier, is_lapsed)

    def searcher_removed(self, identifier: str) -> None:
        """Remove a searcher from the dispatcher."""
        self.log.write(EventCode.SEARCHER_GONE, searcher=identifier)
        self.dispatcher.remove_searcher(identifier)

    def _known_domains(self) -> frozenset[str]:
        domains = {entry.failure_domain for entry in self.catalogue.entries}
        return frozenset(domains | {self.dispatcher.failure_domain})

    def _apply_entry(self, identifier: str, item: Item) -> None:
        decoded = decode_entry(identifier, item.value)
        if decoded.is_err():
            self._refusal_log.record(
                EventCode.ENTRY_REFUSED, item.key, item.position, decoded.unwrap_err()
            )
            self.catalogue.mark_missing(identifier)
            return
        self._refusal_log.forget(item.key)
        if item.position <= self._restored_until:
            self.catalogue.restore(decoded.unwrap())
        else:
            self.catalogue.upsert(decoded.unwrap())

    def _apply_configuration(
        self, value: bytes, position: Position, source: str
    ) -> None:
        decoded = decode_configuration(value)
        if decoded.is_err():
            self._refusal_log.record(
                EventCode.CONFIGURATION_REFUSED,
                CONFIGURATION_KEY,
                position,
                decoded.unwrap_err(),
            )
            return
        self._refusal_log.forget(CONFIGURATION_KEY)
        configuration = decoded.unwrap()
        if configuration.version <= self.version:
            self.log.write(
                EventCode.CONFIGURATION_STALE,
                version=configuration.version,
                in_force=self.version,
                era=position.era,
                revision=position.revision,
                source=source,
            )
            return
        self._activate(configuration)
        self.log.write(
            EventCode.CONFIGURATION_ACCEPTED,
            version=configuration.version,
            era=position.era,
            revision=position.revision,
            source=source,
            routes=len(configuration.routes),
        )

    def _activate(self, configuration: Configuration) -> None:
        route_table = RouteTable(configuration.routes)
        weighted = {
            route.destination
            for route in configuration.routes
            if isinstance(route.destination, WeightedServices)
        }
        self._round_robins = {
            destination: round_robin
            for destination, round_robin in self._round_robins.items()
            if destination in weighted
        }
        self.dispatcher.configure(configuration.services)
        self._configuration = configuration
        self._route_table = route_table
        self._activated_at = self.clock.monotonic()
        self.on_configuration(configuration)
