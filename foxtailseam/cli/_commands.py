"""The commands."""

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


def _fail(message: str) -> None:
    print(message, file=sys.stderr)


def _split(addresses: Any) -> list[str]:
    # fire turns "A,B" into a tuple.
    if isinstance(addresses, (list, tuple)):
        return [str(item) for item in addresses]
    return str(addresses).split(",")


class Commands:
    """Run and look after a foxtailseam query tier.

    Exit codes: 0 done, 1 invalid input, 2 wrong usage, 3 a process was not
    reached, 4 the answer is not complete, 5 a drain ended with work in flight.
    """

    def run(self, settings: str) -> int:
        """Run the daemon that a settings file describes, until SIGTERM.

        Parameters
        ----------
        settings : str
            Path of the YAML file.
        """
        loaded = load_settings(Path(settings))
        if loaded.is_err():
            _fail("\n".join(str(problem) for problem in loaded.unwrap_err()))
            return ExitCode.INVALID_INPUT
        finished = run_daemon(loaded.unwrap())
        return ExitCode.DONE if finished else ExitCode.DRAIN_CUT

    def check_settings(self, settings: str) -> int:
        """Check a settings file and list every problem.

        Parameters
        ----------
        settings : str
            Path of the YAML file.
        """
        match load_settings(Path(settings)):
            case Ok(_):
                print(f"{settings}: valid")
                return ExitCode.DONE
            case Err(problems):
                _fail("\n".join(str(problem) for problem in problems))
                return ExitCode.INVALID_INPUT

    def check_rules(self, rules: str, against: str = "") -> int:
        """Check a rules file; show how it differs from the rules in force.

        Parameters
        ----------
        rules : str
            Path of the rules file.
        against : str
            Operators' IP:PORT of any process; empty for no comparison.
        """
        try:
            text = Path(rules).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            _fail(f"{rules}: {error}")
            return ExitCode.INVALID_INPUT
        parsed = parse_rules(text)
        if parsed.is_err():
            _fail(f"{rules}: {parsed.unwrap_err()}")
            return ExitCode.INVALID_INPUT
        lines = parsed.unwrap().lines
        print(f"{rules}: valid, {len(lines)} rules")
        return self._show_difference(set(lines), against) if against else ExitCode.DONE

    def search(
        self, entry: str, family: str, query: str, deadline_ms: int | None = None
    ) -> int:
        """Send a search and print the answer.

        Parameters
        ----------
        entry : str
            Callers' IP:PORT of an entry.
        family : str
            Service family.
        query : str
            What to look for.
        deadline_ms : int
            Own deadline in milliseconds; it can only shorten that of the rules.
        """
        body = _SearchBody(str(query), deadline_ms)
        outcome = post(entry, f"/v1/families/{family}/search", body)
        if outcome.is_err():
            _fail(outcome.unwrap_err())
            return ExitCode.NOT_REACHED
        answer = outcome.unwrap()
        print(msgspec.json.format(answer.body, indent=2).decode())
        page = msgspec.json.decode(answer.body)
        is_complete = page.get("outcome") == "complete"
        return ExitCode.DONE if is_complete else ExitCode.NOT_COMPLETE

    def status(self, processes: str) -> int:
        """Print one line for each process.

        Parameters
        ----------
        processes : str
            Operators' IP:PORT of each process, with commas between.
        """
        code = ExitCode.DONE
        for address in _split(processes):
            match fetch(address, "/status"):
                case Ok(answer):
                    _print_status(msgspec.json.decode(answer.body))
                case Err(message):
                    _fail(message)
                    code = ExitCode.NOT_REACHED
        return code

    def timeline(self, processes: str, request: str = "") -> int:
        """Print the events of all processes in one order, cause before effect.

        Parameters
        ----------
        processes : str
            Operators' IP:PORT of each process, with commas between.
        request : str
            Show only the events of this request.
        """
        code = ExitCode.DONE
        rings = []
        for address in _split(processes):
            match fetch(address, "/events"):
                case Ok(answer):
                    rings.append(msgspec.json.decode(answer.body, type=list[Event]))
                case Err(message):
                    _fail(message)
                    code = ExitCode.NOT_REACHED
        for event in merge_events(rings):
            if request in ("", event.request_id):
                print(event)
        return code

    def _show_difference(self, lines: set[str], address: str) -> int:
        fetched = fetch(address, "/rules")
        if fetched.is_err():
            _fail(fetched.unwrap_err())
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
