"""Parses the sample rules files and prints the policy of one family of each."""

from pathlib import Path

from foxtailseam.configuration import parse_rules

EXAMPLES_DIRECTORY = Path(__file__).parent


def main() -> None:
    """Print the number of rules of each sample and the policy of one family."""
    for name, family in (
        ("qureshi", "certificate-lookup"),
        ("lakeshore", "grant-ledger"),
    ):
        text = (EXAMPLES_DIRECTORY / f"{name}.rules").read_text(encoding="utf-8")
        rules = parse_rules(text).unwrap()
        print(f"{name}: {len(rules.rules)} rules; {family}: {rules.policy(family)}")


if __name__ == "__main__":
    main()
