"""Plots requests by second, latencies by rule, and losses by cause.

Needs matplotlib, which is an optional library (``pip install
hawthornfold[plots]``).
"""

import collections
import datetime
import pathlib

from hawthornfold.commands.losses import Outcome

_BIN_S = 1


def write_plots(requests, directory):
    """Write the plots as PNG files.

    Parameters
    ----------
    requests : list of Request
        From `read_requests`.
    directory : str
        Where the files are written; it has to exist.

    Returns
    -------
    list of pathlib.Path
        The files.

    Raises
    ------
    ImportError
        If matplotlib is not installed.
    """
    import matplotlib  # noqa: PLC0415

    matplotlib.use('Agg')
    from matplotlib import pyplot  # noqa: PLC0415

    paths = []
    for name, draw in (
        ('outcomes', _draw_outcomes),
        ('latencies', _draw_latencies),
        ('causes', _draw_causes),
    ):
        figure, axes = pyplot.subplots(figsize=(9, 4))
        draw(axes, requests)
        figure.tight_layout()
        path = pathlib.Path(directory, f'{name}.png')
        figure.savefig(path)
        pyplot.close(figure)
        paths.append(path)
    return paths


def _draw_outcomes(axes, requests):
    times = [
        datetime.datetime.fromisoformat(x.time).timestamp() for x in requests
    ]
    start = min(times, default=0.0)
    counts = collections.defaultdict(collections.Counter)
    for request, time in zip(requests, times, strict=True):
        counts[int((time - start) // _BIN_S)][request.outcome] += 1
    seconds = range(max(counts, default=0) + 1)
    axes.stackplot(
        list(seconds),
        *([counts[s][outcome] for s in seconds] for outcome in Outcome),
        labels=[outcome.value for outcome in Outcome],
    )
    axes.set_xlabel('s')
    axes.set_ylabel('requests per second')
    axes.legend(fontsize='small')


def _draw_latencies(axes, requests):
    by_rule = collections.defaultdict(list)
    objectives = {}
    for request in requests:
        if request.objective_ms is not None:
            by_rule[request.rule].append(request.ms)
            objectives[request.rule] = request.objective_ms
    rules = sorted(by_rule)
    if not rules:
        return
    axes.boxplot([by_rule[rule] for rule in rules], whis=(1, 99))
    axes.set_xticks(range(1, len(rules) + 1), rules)
    for number, rule in enumerate(rules, 1):
        axes.hlines(
            objectives[rule], number - 0.3, number + 0.3, color='tab:red'
        )
    axes.set_yscale('log')
    axes.set_ylabel('ms, and the objective')


def _draw_causes(axes, requests):
    counts = collections.Counter(
        request.cause for request in requests if request.cause is not None
    )
    causes = [cause for cause, _ in counts.most_common()]
    axes.barh(
        [cause.value for cause in causes], [counts[cause] for cause in causes]
    )
    axes.set_xlabel('requests')
