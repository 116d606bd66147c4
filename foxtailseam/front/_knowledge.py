"""What this host believes: the configuration in force and the searchers."""

import random
from collections.abc import Callable

from foxtailseam.catalogue import Catalogue, SearcherEntry
from foxtailseam.clocks import Clock
from foxtailseam.dispatch import Dispatcher
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.platform import (
    CONFIGURATION_KEY,
    decode_configuration,
    decode_entry,
    searcher_identifier,
)
from foxtailseam.routing import (
    Configuration,
    Route,
    RouteTable,
    WeightedChoice,
    WeightedServices,
)
from foxtailseam.store import Change, Item, Removal


class Knowledge:
    """Decodes changes of the configuration service and puts them in force.

    Parameters
    ----------
    dispatcher : Dispatcher
        Uses the searchers.
    clock : Clock
        Source of time.
    log : LogWriter
        Where each change is told.
    generator : random.Random
        Start of the division over weighted services.
    on_configuration : callable
        Gets each configuration that comes into force.
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
        self._configuration: Configuration | None = None
        self._table = RouteTable(())
        self._choices: dict[WeightedServices, WeightedChoice] = {}
        self._accepted_at = 0.0

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force; None before the first is known."""
        return self._configuration

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first is known."""
        return self._configuration.version if self._configuration else 0

    @property
    def age(self) -> float:
        """Return the seconds since the configuration came into force here."""
        return self.clock.monotonic() - self._accepted_at

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None."""
        return self._table.find(host, path)

    def choose_service(self, destination: WeightedServices) -> str | None:
        """Return the service of the next request of a divided route."""
        choice = self._choices.get(destination)
        if choice is None:
            choice = WeightedChoice(destination, self.generator)
            self._choices[destination] = choice
        return choice.next()

    def take(self, change: Change) -> None:
        """Take a change of a key of the configuration service."""
        identifier = searcher_identifier(change.key)
        match change:
            case Item(key=key, value=value) if key == CONFIGURATION_KEY:
                self._take_configuration(value, change.revision)
            case Item(value=value) if identifier is not None:
                self._take_entry(identifier, value)
            case Removal() if identifier is not None:
                self.catalogue.withdraw(identifier)
            case _:
                # Other keys of the service are of no concern here.
                pass

    def searcher_changed(self, entry: SearcherEntry) -> None:
        """Pass a searcher on to the dispatcher."""
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
        """Make a searcher the last choice while its entry is missing."""
        code = EventCode.SEARCHER_LAPSED if is_lapsed else EventCode.SEARCHER_BACK
        self.log.write(code, searcher=identifier)
        self.dispatcher.set_lapsed(identifier, is_lapsed)

    def searcher_gone(self, identifier: str) -> None:
        """Take a searcher from the dispatcher."""
        self.log.write(EventCode.SEARCHER_GONE, searcher=identifier)
        self.dispatcher.remove_searcher(identifier)

    def _take_entry(self, identifier: str, value: bytes) -> None:
        decoded = decode_entry(identifier, value)
        if decoded.is_ok():
            self.catalogue.publish(decoded.unwrap())
            return
        problem = str(decoded.unwrap_err())
        self.log.write(EventCode.ENTRY_REFUSED, searcher=identifier, problem=problem)
        self.catalogue.withdraw(identifier)

    def _take_configuration(self, value: bytes, revision: int) -> None:
        decoded = decode_configuration(value)
        if decoded.is_err():
            problem = str(decoded.unwrap_err())
            self.log.write(
                EventCode.CONFIGURATION_REFUSED, revision=revision, problem=problem
            )
            return
        configuration = decoded.unwrap()
        if configuration.version <= self.version:
            self.log.write(
                EventCode.CONFIGURATION_STALE,
                version=configuration.version,
                in_force=self.version,
            )
            return
        self._put_in_force(configuration)
        self.log.write(
            EventCode.CONFIGURATION_ACCEPTED,
            version=configuration.version,
            revision=revision,
            routes=len(configuration.routes),
        )

    def _put_in_force(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._accepted_at = self.clock.monotonic()
        self._table = RouteTable(configuration.routes)
        divided = {
            route.destination
            for route in configuration.routes
            if isinstance(route.destination, WeightedServices)
        }
        self._choices = {
            destination: choice
            for destination, choice in self._choices.items()
            if destination in divided
        }
        self.dispatcher.configure(configuration.services)
        self.on_configuration(configuration)
