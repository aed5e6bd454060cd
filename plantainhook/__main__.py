"""Entry point of ``python -m plantainhook`` and of the single-file build."""

import sys

from plantainhook import cli


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(cli.run())


if __name__ == "__main__":
    main()
