"""The errors that may end the process of a host."""

from dataclasses import dataclass

from foxtailseam.launch import ExitCode, ListenError
from foxtailseam.utils import describe_error


@dataclass(frozen=True, slots=True)
class ProcessFailure:
    """An error that ends the process.

    Parameters
    ----------
    error : Exception
        The error.
    has_started : bool
        Whether the process already served.
    """

    error: Exception
    has_started: bool

    @property
    def phase(self) -> str:
        """Return what the process was doing."""
        match self.error:
            case ListenError():
                return "listen"
            case ImportError():
                return "import"
            case _:
                return "serving" if self.has_started else "start"

    @property
    def exit_code(self) -> ExitCode:
        """Return the exit code of the process."""
        match self.error:
            case ListenError():
                return ExitCode.ADDRESS_UNAVAILABLE
            case ImportError():
                return ExitCode.PACKAGE_MISSING
            case _:
                return ExitCode.FAILED

    def describe(self) -> dict[str, object]:
        """Return the fields of its log line."""
        return {
            "phase": self.phase,
            "exit_code": self.exit_code,
            **describe_error(self.error),
        }
