"""Runs random combinations of faults: ``python -m dispatch.soak``.

Prints the seed and the faults of each case in which a check finds a violation,
and exits with status 1 if there was such a case. ``--case SIZE SEED`` runs one
of them again.
"""

from __future__ import annotations

import argparse
import random
import sys
import time

from . import matrix

SIZES = (2, 3)


def soak(seconds: float, seed: int) -> int:
    """Run random cases for a time in seconds; return how many failed."""
    rng = random.Random(seed)
    ends_at = time.monotonic() + seconds
    cases = failed = 0
    while time.monotonic() < ends_at:
        case_seed = rng.randrange(2**31)
        failed += not _passes(rng.choice(SIZES), case_seed)
        cases += 1
    print(f"seed {seed}: {cases} cases, {failed} failed")
    return failed


def _passes(size: int, seed: int) -> bool:
    [case] = matrix.sample_cases(1, size, seed)
    found = matrix.run_case(case, seed).violations
    if found:
        faults = " + ".join(map(str, case))
        print(f"size {size} seed {seed}: {faults}")
        print("\n".join(f"  {f}" for f in found), flush=True)
    return not found


def main() -> None:
    """Run cases according to the command-line arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--case", nargs=2, type=int, metavar=("SIZE", "SEED"))
    args = parser.parse_args()
    if args.case:
        sys.exit(not _passes(*args.case))
    sys.exit(1 if soak(args.seconds, args.seed) else 0)


if __name__ == "__main__":
    main()
