"""Entry point of ``python -m vanillashore_node``."""

from vanillashore_node._daemon import main

if __name__ == "__main__":
    raise SystemExit(main())
