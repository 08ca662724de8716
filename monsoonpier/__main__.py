"""Entry point of ``python -m monsoonpier``."""

from monsoonpier.cli import main

if __name__ == "__main__":
    main()
