"""The real relay: `python -m linnetstile`, configured by the RELAY_ variables."""

import sys

# asyncio does without: it takes 4 MB of a small machine's memory, and nothing here speaks TLS.
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]

from .net.process import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
