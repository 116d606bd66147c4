"""Messages that hosts exchange, encoded as MessagePack maps."""

import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from foxtailseam.admission import AdmissionNotice
from foxtailseam.conditions import (
    ConditionNotices,
    LeavingNotice,
    LimitNotice,
    PauseNotice,
    SlownessNotice,
)
from foxtailseam.fleet._host_record import HostRecord, MemberNews
from foxtailseam.locality import SpilloverNotice
from foxtailseam.quarantine import SuspicionNotice
from foxtailseam.store import Change, Item, Position, Removal
from foxtailseam.utils import (
    DocumentDecoder,
    DocumentFormat,
    Integer,
    WholeMilliseconds,
    WholeNumber,
)

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class MemberExchange:
    """Request and response of a gossip exchange between two hosts.

    Parameters
    ----------
    records : tuple of HostRecord
        Record of the sender; for a host of an earlier release also those of other hosts
        that it considers alive.
    notices : tuple of SuspicionNotice
        Suspicion states of requests that are known to the sender.
    limits : tuple of LimitNotice
        Limits of searchers that are known to the sender.
    leaving : tuple of LeavingNotice
        Searchers of which the sender knows that they are about to stop.
    pauses : tuple of PauseNotice
        Searchers that asked the sender, or a host that told it so, for a pause.
    news : tuple of MemberNews
        Recent changes of the membership.
    digest : int
        Identifies the set of hosts that the sender considers alive; 0 from hosts of an
        earlier release.
    wants_view : bool
        Whether the sender asks for the records of all hosts if the digests differ.
    view : bytes
        These records, compressed; empty if the sender did not ask for them.
    slowness : tuple of SlownessNotice
        Searchers that hosts have found to be slow, or not to be slow any more; unset
        if there are none.
    admission : tuple of AdmissionNotice
        Admitted shares of requests that exceed the capacity of their searchers.
    spillover : tuple of SpilloverNotice
        Spillover shares that the sender keeps; not sent while its services are calm.
    """

    records: tuple[HostRecord, ...]
    notices: tuple[SuspicionNotice, ...] = ()
    limits: tuple[LimitNotice, ...] = ()
    leaving: tuple[LeavingNotice, ...] = ()
    pauses: tuple[PauseNotice, ...] = ()
    news: tuple[MemberNews, ...] = ()
    digest: Integer = 0
    wants_view: bool = False
    view: bytes = b""
    # Unset instead of empty, so that they take no bytes of a message.
    slowness: tuple[SlownessNotice, ...] | msgspec.UnsetType = msgspec.UNSET
    admission: tuple[AdmissionNotice, ...] | msgspec.UnsetType = msgspec.UNSET
    spillover: tuple[SpilloverNotice, ...] | msgspec.UnsetType = msgspec.UNSET

    @property
    def conditions(self) -> ConditionNotices:
        """Return the notices of the conditions of searchers."""
        return ConditionNotices(
            self.limits, self.leaving, self.pauses, self.slowness or ()
        )


@dataclass(frozen=True, slots=True)
class WireChange:
    """Wire format of a change to one key of the configuration service.

    Parameters
    ----------
    key : str
        Key that was written or removed.
    revision : int
        Revision of the service at which the key changed.
    value : bytes or None
        New value; None if the key was removed.
    """

    key: str
    revision: WholeNumber
    value: bytes | None

    @classmethod
    def from_change(cls, change: Change) -> "WireChange":
        """Return the wire format of `change`."""
        match change:
            case Item(key=key, value=value, position=position):
                return cls(key, position.revision, value)
            case Removal(key=key, position=position):
                return cls(key, position.revision, None)

    def to_change(self, era: int) -> Change:
        """Return the change that this message encodes.

        Parameters
        ----------
        era : int
            Era of the update that contains the change.
        """
        position = Position(era, self.revision)
        if self.value is None:
            return Removal(self.key, position)
        return Item(self.key, self.value, position)


# Longest content of a message before it was compressed: entries of 50,000 searchers.
# Decoded and applied it takes up to twelve times as much.
MAX_EXPANDED_BYTES = 16_777_216
_CHANGES_DECODER = DocumentDecoder(
    tuple[WireChange, ...], MAX_EXPANDED_BYTES, DocumentFormat.MESSAGE_PACK
)
_RECORDS_DECODER = DocumentDecoder(
    tuple[HostRecord, ...], MAX_EXPANDED_BYTES, DocumentFormat.MESSAGE_PACK
)
# Compressed for speed: entries of searchers, and records of hosts, differ in few bytes.
_COMPRESSION_LEVEL = 1


def compress_changes(changes: Sequence[WireChange]) -> bytes:
    """Return the changes as compressed MessagePack."""
    return _compress(changes)


def decompress_changes(data: bytes) -> tuple[WireChange, ...]:
    """Return the changes that `compress_changes` has encoded.

    Raises
    ------
    msgspec.DecodeError
        If `data` is malformed.
    """
    return _decompress(data, _CHANGES_DECODER)


def compress_records(records: Sequence[HostRecord]) -> bytes:
    """Return the records of hosts as compressed MessagePack."""
    return _compress(records)


def decompress_records(data: bytes) -> tuple[HostRecord, ...]:
    """Return the records that `compress_records` has encoded.

    Raises
    ------
    msgspec.DecodeError
        If `data` is malformed.
    """
    return _decompress(data, _RECORDS_DECODER)


def _compress(items: Sequence[object]) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(items), _COMPRESSION_LEVEL)


def _decompress(data: bytes, decoder: DocumentDecoder[tuple[T, ...]]) -> tuple[T, ...]:
    decompressor = zlib.decompressobj()
    try:
        expanded = decompressor.decompress(data, MAX_EXPANDED_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
    if not decompressor.eof:
        message = f"the content is cut short or expands past {MAX_EXPANDED_BYTES} bytes"
        raise msgspec.DecodeError(message)
    return decoder.decode_or_raise(expanded, "compressed content")


@dataclass(frozen=True, slots=True)
class FollowRequest:
    """Request to stream changes to the sender.

    Parameters
    ----------
    sender : HostRecord
        Record of the host that follows.
    revision : int
        Revision up to which the sender already has every change; 0 for none.
    accepts_compressed : bool
        Whether the sender understands compressed changes.
    era : int
        Era of `revision`; hosts that know of no eras send none.
    """

    sender: HostRecord
    revision: WholeNumber
    accepts_compressed: bool = False
    era: WholeNumber = 0

    @property
    def position(self) -> Position:
        """Return the position up to which the sender has every change."""
        return Position(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class FollowUpdate:
    """Message of the stream: new changes and the age of the sender's replica.

    Parameters
    ----------
    changes : tuple of WireChange
        Changes since the previous message; with `is_listing`, all existing keys.
    revision : int
        Revision up to which the receiver has every change once it applied these.
    is_listing : bool
        Whether keys that are missing from `changes` do not exist any more.
    age_ms : int
        Milliseconds since the sender's replica was last in sync with the service;
        ``UNKNOWN_AGE_MS`` if it never was.
    grace_ms : int
        Milliseconds until the end of the grace period in which lapsed searcher
        entries are kept; 0 if there is none.
    compressed_changes : bytes
        The changes, compressed, if `changes` is empty; empty if there are none or if
        the follower does not accept them.
    era : int
        Era of `revision` and of all changes; hosts that know of no eras send none.
    orders : tuple of WireChange
        All orders of the operator that exist, also if `changes` has some of them.
    orders_revision : int
        Revision up to which the sender knows all orders; 0 from hosts of an earlier
        release, whose `changes` and listings may lack orders.
    """

    changes: tuple[WireChange, ...]
    revision: WholeNumber
    is_listing: bool
    age_ms: WholeMilliseconds
    grace_ms: WholeMilliseconds
    compressed_changes: bytes = b""
    era: WholeNumber = 0
    orders: tuple[WireChange, ...] = ()
    orders_revision: WholeNumber = 0

    @property
    def position(self) -> Position:
        """Return the position up to which the receiver then has every change."""
        return Position(self.era, self.revision)

    @property
    def has_all_orders(self) -> bool:
        """Return whether the sender knows all orders up to its position."""
        return bool(self.revision) and self.orders_revision >= self.revision
