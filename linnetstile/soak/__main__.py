"""`python -m linnetstile.soak`: plays soaks, prints a table of them, and says what broke a rule."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from .price import table
from .run import HEADER, Plan, Result, play

EXAMPLES = """examples:
  python -m linnetstile.soak run --seeds 1-50 --seconds 25 --beside 3
  python -m linnetstile.soak replay 17 --keep found
  python -m linnetstile.soak price --seconds 20
"""


def seeds_of(text: str) -> list[int]:
    """Of `3`, `1-50` or `1,4,9`."""
    first, dash, last = text.partition("-")
    return list(range(int(first), int(last) + 1)) if dash else [int(part) for part in text.split(",")]


@contextmanager
def folder_of(keep: Path | None, seed: int) -> Iterator[Path]:
    """Where logs and journals of this seed go: kept, or removed afterwards."""
    if keep is not None:
        folder = keep / str(seed)
        folder.mkdir(parents=True)
        yield folder
        return
    with tempfile.TemporaryDirectory() as spare:
        yield Path(spare)


async def play_one(plan: Plan, keep: Path | None) -> Result:
    with folder_of(keep, plan.seed) as folder:
        return await play(plan, folder)


async def play_all(plans: list[Plan], beside: int, keep: Path | None) -> list[Result]:
    """So many at a time; each prints its row as it ends."""
    room, results = asyncio.Semaphore(beside), list[Result]()

    async def one(plan: Plan) -> None:
        async with room:
            result = await play_one(plan, keep)
        results.append(result)
        print(result.line(), flush=True)
        for breach in result.breaches:
            print(f"       {breach}", flush=True)

    print(HEADER, flush=True)
    async with asyncio.TaskGroup() as tasks:
        for plan in plans:
            tasks.create_task(one(plan))
    return results


def parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(
        prog="linnetstile.soak",
        description=__doc__,
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = made.add_subparsers(dest="command", required=True)
    run = commands.add_parser("run", help="plays several seeds")
    run.add_argument("--seeds", type=seeds_of, default=[1], help="as 3, 1-50 or 1,4,9")
    run.add_argument("--beside", type=int, default=1, help="so many at a time")
    replay = commands.add_parser("replay", help="plays one seed again")
    replay.add_argument("seed", type=int)
    price = commands.add_parser("price", help="what the rest of kept connections costs")
    price.add_argument("--seconds", type=float, default=20.0, help="of each load")
    for command in (run, replay):
        command.add_argument("--seconds", type=float, default=25.0, help="of trouble, in each")
        command.add_argument("--per-s", type=float, default=12.0, help="messages handed in at each relay")
        command.add_argument("--relays", type=int, default=None, help="instead of the number that is drawn")
        command.add_argument("--keep", type=Path, help="a folder for logs and journals, left in place")
    return made


def main() -> int:
    asked = parser().parse_args()
    if asked.command == "price":
        asyncio.run(table(asked.seconds))
        return 0
    seeds = asked.seeds if asked.command == "run" else [asked.seed]
    beside = asked.beside if asked.command == "run" else 1
    plans = [Plan(seed, asked.seconds, asked.per_s, asked.relays) for seed in seeds]
    results = asyncio.run(play_all(plans, beside, asked.keep))
    broken = [result for result in results if result.breaches]
    print(
        f"{len(results)} played, {len(broken)} with a breach"
        + (f": {sorted(result.plan.seed for result in broken)}" if broken else "")
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
