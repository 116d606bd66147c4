"""Keeps the signals that arrive before the process can handle them."""

import signal

DEFERRED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class EarlySignals:
    """Records signals, which end the process by default, until they can be handled."""

    def __init__(self):
        self._received: set[int] = set()

    @property
    def received(self) -> frozenset[int]:
        """Return the numbers of the signals that have arrived."""
        return frozenset(self._received)

    def install(self) -> None:
        """Record signals from now on, until other handlers are installed."""
        for number in DEFERRED_SIGNALS:
            signal.signal(number, self._record)

    def _record(self, number: int, _frame: object) -> None:
        self._received.add(number)
