"""Runs linter, format check, unit tests and scenarios, and prints a summary line.

Tests listed in KNOWN-RED.txt are run and their failures printed, but these do not
fail the run. Each line of the file is
``TEST ID | command and seed | what was seen | issue``.
"""

import json
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BIN = Path(sys.executable).parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_PARALLEL_FEATURES = 3


@dataclass(frozen=True)
class TestResult:
    """The result of a test or tool.

    `name` is its identifier and `detail` the reason or output of a failure.
    """

    name: str
    passed: bool
    detail: str = ""


def run_tool(*command: str) -> TestResult:
    """Run a tool of the virtual environment; it passes if its exit code is 0."""
    done = subprocess.run(
        [str(BIN / command[0]), *command[1:]],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return TestResult(" ".join(command), done.returncode == 0, done.stdout)


def run_pytest(directory: Path) -> list[TestResult]:
    """Run the unit and contract tests.

    The report is written to `directory`. A run without a report or without tests is
    returned as one failed result.
    """
    report = directory / "pytest.xml"
    done = subprocess.run(
        [sys.executable, "-m", "pytest", f"--junitxml={report}"], cwd=ROOT, check=False
    )
    if not report.exists():
        return [
            TestResult(
                "pytest", False, f"pytest wrote no report; exit code {done.returncode}"
            )
        ]
    results = []
    for case in ElementTree.parse(report).iter("testcase"):
        failure = case.find("failure")
        if failure is None:
            failure = case.find("error")
        name = f"{case.get('classname')}.{case.get('name')}"
        detail = "" if failure is None else failure.get("message", "")
        results.append(TestResult(name, failure is None, detail))
    return results or [TestResult("pytest", False, "no test was run")]


def run_features(directory: Path) -> list[TestResult]:
    """Run the scenarios, several features in parallel, the longest first.

    The reports are written to `directory`.
    """
    features = sorted(
        ROOT.glob("features/*.feature"),
        key=lambda path: (-path.read_text().count("\n"), path.name),
    )
    with ThreadPoolExecutor(MAX_PARALLEL_FEATURES) as pool:
        runs = pool.map(lambda path: run_feature(directory, path), features)
        return [result for results in runs for result in results]


def run_feature(directory: Path, path: Path) -> list[TestResult]:
    """Run the scenarios of one feature file.

    The report is written to `directory`. A run without a report or without scenarios
    is returned as one failed result.
    """
    report = directory / f"{path.stem}.json"
    done = subprocess.run(
        [
            *(sys.executable, "-m", "behave", "--no-capture", str(path)),
            *("--format", "json", "--outfile", str(report)),
            *("--format", "progress3"),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    print(done.stdout, flush=True)
    try:
        features = json.loads(report.read_text())
    except (OSError, ValueError):
        return [
            TestResult(
                path.name,
                False,
                f"{done.returncode} is behave's exit code, no report: {done.stderr}",
            )
        ]
    results = []
    for feature in features:
        for scenario in feature.get("elements", []):
            if scenario["type"] == "background":
                continue
            name = f"{feature['name']}: {scenario['name']}".strip()
            passed = scenario["status"] == "passed"
            results.append(TestResult(name, passed, failed_step(scenario)))
    return results or [TestResult(path.name, False, "no scenario was run")]


def failed_step(scenario: dict) -> str:
    """Return the first step of a scenario that did not pass, with its error.

    Parameters
    ----------
    scenario : dict
        Scenario in behave's JSON report.
    """
    for step in scenario.get("steps", []):
        result = step.get("result", {})
        if result.get("status") != "passed":
            lines = result.get("error_message", [])
            error = lines if isinstance(lines, str) else "\n    ".join(lines)
            return f"{step['keyword']} {step['name']}: {error}"
    return scenario["status"]


def known_failures_by_test() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by test identifier."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    return {line.split(" | ")[0].strip(): line for line in lines}


def main() -> int:
    """Run all checks, print failures and counts, and return the exit code.

    The code is 1 if a test failed that is not listed in KNOWN-RED.txt, else 0.
    """
    results = [
        run_tool("ruff", "check", "."),
        run_tool("ruff", "format", "--check", "."),
    ]
    with tempfile.TemporaryDirectory() as name:
        results += run_pytest(Path(name))
        results += run_features(Path(name))
    known_failures = known_failures_by_test()
    failed = [item for item in results if not item.passed]
    for item in failed:
        kind = "known red" if item.name in known_failures else "FAILED"
        print(f"{kind}: {item.name}\n    {known_failures.get(item.name, item.detail)}")
    unexpected = [item for item in failed if item.name not in known_failures]
    passed = len(results) - len(failed)
    if known_failures:
        print(f"known red, not counted as failed: {len(failed) - len(unexpected)}")
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
