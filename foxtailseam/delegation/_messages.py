"""Messages of delegation from a host to a coordinator, encoded as MessagePack maps."""

from dataclasses import dataclass

from foxtailseam.forwarding import ForwardedRequest
from foxtailseam.utils import SmallInteger


@dataclass(frozen=True, slots=True)
class DelegationMessage:
    """Message from a host to the coordinator of its query.

    The first message of a call holds the request. The second one, sent once the
    coordinator has said that it got the first, raises the number of attempts: until
    then some are kept for the case that the request is lost on the way.

    Parameters
    ----------
    request : ForwardedRequest or None
        The request; None in the second message.
    attempts : int
        Largest number of searchers of each shard that may be asked from now on; not
        used in the first message.
    """

    request: ForwardedRequest | None = None
    attempts: SmallInteger = 0
