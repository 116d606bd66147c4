"""Reads the sample rules files and prints what is in force for a family."""

from pathlib import Path

from foxtailseam.configuration import parse_rules

HERE = Path(__file__).parent


def main() -> None:
    """Print the policy of one family of each sample."""
    for name, family in (
        ("qureshi", "certificate-lookup"),
        ("lakeshore", "grant-ledger"),
    ):
        text = (HERE / f"{name}.rules").read_text(encoding="utf-8")
        rules = parse_rules(text).unwrap()
        print(f"{name}: {len(rules.rules)} rules; {family}: {rules.policy(family)}")


if __name__ == "__main__":
    main()
