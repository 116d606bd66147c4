"""Counts the bytes exchanged with searchers, by kind and failure domain."""

from foxtailseam.dispatch._searcher import Searcher


class TrafficCounter:
    """Bytes of requests and answers, near (in the failure domain of this host) or far.

    Heads of answers are not counted.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this host.
    """

    def __init__(self, failure_domain: str):
        self.failure_domain = failure_domain
        self._requests = [0, 0]
        self._answers = [0, 0]
        self._unused_answers = [0, 0]

    @property
    def totals(self) -> dict[str, int]:
        """Return the bytes by kind, such as ``requests_far``."""
        kinds = {
            "requests": self._requests,
            "answers": self._answers,
            "unused_answers": self._unused_answers,
        }
        return {
            f"{kind}_{place}": size
            for kind, sizes in kinds.items()
            for place, size in zip(("near", "far"), sizes, strict=True)
        }

    def add_request(self, searcher: Searcher, size: int) -> None:
        """Count a request that is written.

        Parameters
        ----------
        searcher : Searcher
            Searcher that gets it.
        size : int
            Bytes of head and body.
        """
        is_far = searcher.entry.failure_domain != self.failure_domain
        self._requests[is_far] += size

    def add_answer(self, searcher: Searcher, size: int, is_unused: bool) -> None:
        """Count an answer that was received.

        Parameters
        ----------
        searcher : Searcher
            Searcher that sent it.
        size : int
            Bytes of the body.
        is_unused : bool
            Whether the request has already got another answer.
        """
        sizes = self._unused_answers if is_unused else self._answers
        is_far = searcher.entry.failure_domain != self.failure_domain
        sizes[is_far] += size
