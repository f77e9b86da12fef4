"""Runs trials with two faults at once, one for each seed."""

import dataclasses
import sys
import typing

import cappa

from hawthornfold.integration import trials
from hawthornfold.integration import two_faults


def parse_seeds(text):
    """Parse ``FIRST-LAST`` or one number into a range of seeds.

    Examples
    --------
    >>> parse_seeds('3-5'), parse_seeds('7')
    (range(3, 6), range(7, 8))
    """
    first, _, last = text.partition('-')
    return range(int(first), int(last or first) + 1)


@cappa.command(name='python -m hawthornfold.integration')
@dataclasses.dataclass
class TwoFaults:
    """Run two faults at once under load for each seed."""

    seeds: typing.Annotated[
        str, cappa.Arg(long=True, help='FIRST-LAST or one number')
    ]

    def __call__(self):
        """Run all seeds on one fleet; return the exit status."""
        failed = 0
        with trials.open_trial() as trial:
            for seed in parse_seeds(self.seeds):
                report = two_faults.run_seed(trial, seed)
                failed += bool(report.violations)
                faults = ', '.join(
                    f'{c.kind} {c.place}' for c in report.faults
                )
                print(
                    f'seed {seed}: {faults}: {report.answers} answers of '
                    f'{report.claims} claims, '
                    f'{len(report.violations)} violations',
                    flush=True,
                )
                for line in report.violations:
                    print(f'  {line}')
        return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(cappa.invoke(TwoFaults))
