"""Explains requests offline, from a rules file or from log files.

`hawthornfold.commands.operators` explains requests that a running node has
handled.
"""

from result import Err

from hawthornfold.codes import Failure
from hawthornfold.codes import ResultCode
from hawthornfold.commands import log_timeline
from hawthornfold.commands import loss_plots
from hawthornfold.commands import losses
from hawthornfold.commands import output
from hawthornfold.documents import read_file
from hawthornfold.rules import URGENCIES
from hawthornfold.rules import compile_rules

_URGENCY_NAMES = {number: name for name, number in URGENCIES.items()}


def _describe_decision(decision):
    """Return the fields of a decision by their names in rules documents."""
    fields = decision._asdict()
    fields['urgency'] = _URGENCY_NAMES[decision.urgency]
    fields['snapshot'] = fields.pop('snapshot_policy')
    return fields


def _list_considered_traces(explanation):
    """Return the traces up to and including the first rule that matches."""
    considered = []
    for trace in explanation.traces:
        considered.append(trace)
        if trace.matched:
            break
    return considered


def describe_explanation(explanation):
    """Return an explanation as a dictionary for JSON output.

    It lists the rules up to and including the first one that matches.
    """
    decision = explanation.decision
    return {
        'decision': decision and _describe_decision(decision),
        'considered': [
            trace._asdict() for trace in _list_considered_traces(explanation)
        ],
    }


def format_explanation(explanation):
    """Return an explanation as text: a table of rules, then the decision."""
    rows = [
        [
            trace.rule,
            'matches' if trace.matched else f'differs in {trace.difference}',
        ]
        for trace in _list_considered_traces(explanation)
    ]
    blocks = [output.format_table(['rule', 'outcome'], rows)]
    if explanation.decision is not None:
        fields = _describe_decision(explanation.decision)
        blocks.append(output.format_sections(fields, 'decision'))
    return '\n\n'.join(blocks)


def explain_facts(path, facts, as_json):
    """Print how a rules file handles a request; return the exit status.

    Parameters
    ----------
    path : str
        The rules file.
    facts : RequestFacts
        The properties of the request that rules match on.
    as_json : bool
        Whether to print JSON instead of text.
    """
    read = read_file(path)
    compiled = (
        compile_rules(read.ok_value) if read.is_ok() else Err([read.err_value])
    )
    if compiled.is_err():
        for failure in compiled.err_value:
            output.print_error(output.format_failure(failure))
        return output.EXIT_INVALID
    explanation = compiled.ok_value.explain(facts)
    if as_json:
        print(output.format_json(describe_explanation(explanation)))
    else:
        print(format_explanation(explanation))
    if explanation.decision is None:
        detail = 'no rule matches and there is no default'
        failure = Failure(ResultCode.RULE_NOT_MATCHED, detail)
        output.print_error(output.format_failure(failure))
        return output.EXIT_FAILED
    return output.EXIT_DONE


def explain_logs(paths, request_id):
    """Print the log lines about a request; return the exit status.

    Parameters
    ----------
    paths : list of str
        Paths of log files, each from any node.
    request_id : str
        The identifier of the request.
    """
    try:
        timeline = log_timeline.find_timeline(_read_lines(paths), request_id)
    except OSError as error:
        return _report_unreadable(error)
    if not timeline:
        failure = Failure(
            ResultCode.REQUEST_ID_UNKNOWN,
            f'no log line has request={request_id}',
        )
        output.print_error(output.format_failure(failure))
        return output.EXIT_FAILED
    print(log_timeline.format_timeline(timeline))
    return output.EXIT_DONE


def print_losses(paths, plots_directory=None):
    """Print the causes of lost requests; return the exit status.

    Parameters
    ----------
    paths : list of str
        Paths of log files, each from any node.
    plots_directory : str, optional
        Where PNG files are written.
    """
    try:
        requests = losses.read_requests(_read_lines(paths))
        print(losses.format_losses(requests))
        if plots_directory is not None:
            for path in loss_plots.write_plots(requests, plots_directory):
                print(path)
    except OSError as error:
        return _report_unreadable(error)
    except ImportError as error:
        output.print_error(f'the plots need a library: {error}')
        return output.EXIT_FAILED
    return output.EXIT_DONE


def _report_unreadable(error):
    detail = f'{error.filename}: {error.strerror}'
    failure = Failure(ResultCode.FILE_UNREADABLE, detail)
    output.print_error(output.format_failure(failure))
    return output.EXIT_INVALID


def _read_lines(paths):
    """Yield the lines of log files without loading whole files."""
    for path in paths:
        with open(path, errors='replace') as file:
            yield from file
