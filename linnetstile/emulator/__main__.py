"""`python -m linnetstile.emulator`: see cli.py."""

from .cli import main

main(prog_name="python -m linnetstile.emulator")
