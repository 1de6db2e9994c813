"""Starts an entry from a checkout; only third-party libraries need to be installed."""

import os
import signal
import sys
from pathlib import Path

# A stop signal during startup ends the process at once. Raising an exception from the handler could
# interrupt the import of an extension module, which crashes some of them.
signal.signal(signal.SIGTERM, lambda number, frame: os._exit(0))
# Waits until the process can reload its settings; by default it would end the process.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(path) for path in (*ROOT.glob("packages/*/src"), ROOT / "platform" / "src")]

from vanillashore_adapter import main  # noqa: E402  (needs sys.path from above)

sys.exit(main())
