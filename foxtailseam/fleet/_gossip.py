"""Gossip between two hosts: what they send each other, and how it is merged.

Nothing here performs I/O, so a whole fleet can be simulated.
"""

from collections.abc import Callable

import msgspec

from foxtailseam.conditions import ConditionRegistry, SlownessNotice
from foxtailseam.fleet._host_record import HostRecord
from foxtailseam.fleet._membership import Membership
from foxtailseam.fleet._messages import (
    MemberExchange,
    compress_records,
    decompress_records,
)
from foxtailseam.fleet._state_exchange import StateExchange
from foxtailseam.quarantine import QuarantineController, SuspicionNotice

# Shortest time between two complete views that a host asks for, for each member, in
# seconds, and at least. It bounds the bytes of views at any number of hosts.
VIEW_SECONDS_PER_MEMBER = 0.005
MIN_VIEW_SECONDS = 1.0


class Gossip:
    """Builds the messages of gossip exchanges and merges those of other hosts.

    Parameters
    ----------
    membership : Membership
        Hosts that are known.
    quarantine : QuarantineController
        Suspicion states of requests, which the hosts share.
    conditions : ConditionRegistry
        Conditions of searchers, which the hosts share.
    on_members : callable
        Called when the alive hosts have changed.
    on_quarantine : callable
        Called when another host had news on requests that crash searchers.
    """

    def __init__(
        self,
        membership: Membership,
        quarantine: QuarantineController,
        conditions: ConditionRegistry,
        on_members: Callable[[], None],
        on_quarantine: Callable[[], None],
    ):
        self.membership = membership
        self.quarantine = quarantine
        self.conditions = conditions
        self.on_members = on_members
        self.on_quarantine = on_quarantine
        # Further state that the hosts share.
        self.state_exchange = StateExchange()
        # Whether the last exchange was with a host that knows the same members.
        self.is_converged = False
        self._wants_view = True
        self._view_requested_at = float("-inf")

    def request(self) -> MemberExchange:
        """Return the message that starts an exchange."""
        wants_view = self._wants_view and self._may_request_view()
        if wants_view:
            self._view_requested_at = self.membership.clock.monotonic()
        return self._message(wants_view=wants_view, is_complete=wants_view)

    def respond(self, request: MemberExchange) -> MemberExchange:
        """Merge the message of another host and return the response.

        Parameters
        ----------
        request : MemberExchange
            Message of the host that started the exchange.
        """
        self._merge(request)
        if not request.digest:
            # A host of an earlier release relies on records of all hosts.
            records = self.membership.legacy_records()
            return self._message(records=records, is_complete=True)
        view = b""
        if request.wants_view and request.digest != self.membership.digest:
            view = compress_records(self.membership.alive)
        return self._message(
            view=view,
            peer_digest=request.digest,
            is_complete=bool(view),
            known=request.notices,
            known_slowness=request.slowness or (),
        )

    def finish(self, response: MemberExchange) -> None:
        """Merge the response to a message of this host.

        Parameters
        ----------
        response : MemberExchange
            What the other host answered.
        """
        self._merge(response)
        if response.digest:
            self.is_converged = response.digest == self.membership.digest
            self._wants_view = not self.is_converged

    def fail(self, address: str) -> None:
        """Handle that a host could not be reached."""
        self.membership.mark_failed(address)
        self.on_members()

    def _may_request_view(self) -> bool:
        members = len(self.membership.addresses)
        interval = max(MIN_VIEW_SECONDS, VIEW_SECONDS_PER_MEMBER * members)
        elapsed = self.membership.clock.monotonic() - self._view_requested_at
        return members == 1 or elapsed >= interval

    def _message(
        self,
        *,
        wants_view: bool = False,
        view: bytes = b"",
        records: tuple[HostRecord, ...] = (),
        peer_digest: int = 0,
        is_complete: bool = False,
        known: tuple[SuspicionNotice, ...] = (),
        known_slowness: tuple[SlownessNotice, ...] = (),
    ) -> MemberExchange:
        quarantine = self.quarantine
        conditions = self.conditions.notices(bool(view), known_slowness)
        return MemberExchange(
            records=records or (self.membership.own_record,),
            notices=(
                quarantine.notices() if is_complete else quarantine.fresh_notices(known)
            ),
            limits=conditions.limits,
            leaving=conditions.leaving,
            pauses=conditions.pauses,
            news=self.membership.news(peer_digest),
            digest=self.membership.digest,
            wants_view=wants_view,
            view=view,
            slowness=conditions.slowness or msgspec.UNSET,
            **self.state_exchange.notices(),
        )

    def _merge(self, message: MemberExchange) -> None:
        membership = self.membership
        before = membership.addresses
        if message.records:
            membership.mark_reached(message.records[0])
        membership.merge_news(message.news)
        others = message.records[1:]
        if message.view:
            others += decompress_records(message.view)
        if others:
            membership.merge(others)
        if membership.addresses != before:
            self.on_members()
        self.conditions.merge(message.conditions)
        if message.records:
            self.state_exchange.merge(message.records[0], message)
        if self.quarantine.merge(message.notices):
            self.on_quarantine()
