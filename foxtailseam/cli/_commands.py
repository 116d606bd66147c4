"""The commands of the command-line interface."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok

from foxtailseam.cli._exit_codes import ExitCode
from foxtailseam.cli._http import fetch, post
from foxtailseam.configuration import parse_rules
from foxtailseam.daemons import run_daemon
from foxtailseam.settings import load_settings
from foxtailseam.timeline import Event, merge_events


@dataclass(frozen=True)
class _SearchBody:
    query: str
    deadline_ms: int | None


def _print_error(message: str) -> None:
    print(message, file=sys.stderr)


def _split_addresses(addresses: Any) -> list[str]:
    # Fire parses "A,B" as a tuple.
    if isinstance(addresses, (list, tuple)):
        return [str(item) for item in addresses]
    return str(addresses).split(",")


class Commands:
    """Run and operate a foxtailseam query tier.

    Exit codes: 0 success, 1 invalid input, 2 invalid usage, 3 a process could not
    be reached, 4 the answer is incomplete, 5 a drain ended with requests in flight.
    """

    def run(self, settings: str) -> int:
        """Run a process with the settings of a file until SIGTERM or SIGINT.

        Parameters
        ----------
        settings : str
            Path of the YAML file.

        Returns
        -------
        int
            0 after a complete drain, 5 if requests were in flight at its end, 1 if
            the settings are invalid.
        """
        loaded = load_settings(Path(settings))
        if loaded.is_err():
            _print_error("\n".join(str(problem) for problem in loaded.unwrap_err()))
            return ExitCode.INVALID_INPUT
        finished = run_daemon(loaded.unwrap())
        return ExitCode.DONE if finished else ExitCode.DRAIN_CUT

    def check_settings(self, settings: str) -> int:
        """Check a settings file and print all problems.

        Parameters
        ----------
        settings : str
            Path of the YAML file.

        Returns
        -------
        int
            0 if the settings are valid, otherwise 1.
        """
        match load_settings(Path(settings)):
            case Ok(_):
                print(f"{settings}: valid")
                return ExitCode.DONE
            case Err(problems):
                _print_error("\n".join(str(problem) for problem in problems))
                return ExitCode.INVALID_INPUT

    def check_rules(self, rules: str, against: str = "") -> int:
        """Check a rules file and compare it with the rules in force.

        Parameters
        ----------
        rules : str
            Path of the rules file.
        against : str
            IP:PORT on which any process serves operators; empty for no comparison.

        Returns
        -------
        int
            0 if the rules are valid, otherwise 1; 3 if the process could not be
            reached.
        """
        try:
            text = Path(rules).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            _print_error(f"{rules}: {error}")
            return ExitCode.INVALID_INPUT
        parsed = parse_rules(text)
        if parsed.is_err():
            _print_error(f"{rules}: {parsed.unwrap_err()}")
            return ExitCode.INVALID_INPUT
        lines = parsed.unwrap().lines
        print(f"{rules}: valid, {len(lines)} rules")
        return self._print_difference(set(lines), against) if against else ExitCode.DONE

    def search(
        self, entry: str, family: str, query: str, deadline_ms: int | None = None
    ) -> int:
        """Send a search request and print the answer.

        Parameters
        ----------
        entry : str
            IP:PORT on which an entry process serves callers.
        family : str
            Name of the service family.
        query : str
            Text to search for.
        deadline_ms : int
            Deadline in milliseconds; can only shorten the deadline of the rules.

        Returns
        -------
        int
            0 if the answer is complete, otherwise 4; 3 if the entry process could not
            be reached.
        """
        body = _SearchBody(str(query), deadline_ms)
        result = post(entry, f"/v1/families/{family}/search", body)
        if result.is_err():
            _print_error(result.unwrap_err())
            return ExitCode.NOT_REACHED
        response = result.unwrap()
        print(msgspec.json.format(response.body, indent=2).decode())
        answer = msgspec.json.decode(response.body)
        is_complete = answer.get("outcome") == "complete"
        return ExitCode.DONE if is_complete else ExitCode.NOT_COMPLETE

    def status(self, processes: str) -> int:
        """Print the state of each process on one line.

        Parameters
        ----------
        processes : str
            IP:PORT on which each process serves operators, separated by commas.

        Returns
        -------
        int
            0, or 3 if a process could not be reached.
        """
        code = ExitCode.DONE
        for address in _split_addresses(processes):
            match fetch(address, "/status"):
                case Ok(response):
                    _print_status(msgspec.json.decode(response.body))
                case Err(message):
                    _print_error(message)
                    code = ExitCode.NOT_REACHED
        return code

    def timeline(self, processes: str, request: str = "") -> int:
        """Print the merged events of all processes, causes before effects.

        Parameters
        ----------
        processes : str
            IP:PORT on which each process serves operators, separated by commas.
        request : str
            Identifier of a request; print only its events.

        Returns
        -------
        int
            0, or 3 if a process could not be reached.
        """
        code = ExitCode.DONE
        event_lists = []
        for address in _split_addresses(processes):
            match fetch(address, "/events"):
                case Ok(response):
                    event_lists.append(
                        msgspec.json.decode(response.body, type=list[Event])
                    )
                case Err(message):
                    _print_error(message)
                    code = ExitCode.NOT_REACHED
        for event in merge_events(event_lists):
            if request in ("", event.request_id):
                print(event)
        return code

    def _print_difference(self, lines: set[str], address: str) -> int:
        fetched = fetch(address, "/rules")
        if fetched.is_err():
            _print_error(fetched.unwrap_err())
            return ExitCode.NOT_REACHED
        in_force = set(fetched.unwrap().body.decode().splitlines())
        changes = [
            *(f"- {line}" for line in sorted(in_force - lines)),
            *(f"+ {line}" for line in sorted(lines - in_force)),
        ]
        print("\n".join(changes) if changes else "no difference from what is in force")
        return ExitCode.DONE


def _print_status(status: dict[str, Any]) -> None:
    state = "draining" if status["draining"] else "not ready"
    if status["ready"]:
        state = "ready"
    print(
        f"{status['host']}/{status['process']:<10} {state:<9} "
        f"rules={status['rules']} snapshots={status['snapshots']} "
        f"hosts={status['hosts']} suspects={len(status['suspects'])} "
        f"domain={status['failure_domain']} version={status['version']}"
    )
