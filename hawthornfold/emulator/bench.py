"""Experiments that compare the tier, its direct variant and a naive version.

All versions run against the same emulated servers, with the same requests at
the same times and the same faults.
"""

import dataclasses
import json
import os
import pathlib
import typing

import cappa

from hawthornfold.clock import create_system_clock
from hawthornfold.emulator import demo
from hawthornfold.emulator import deployments
from hawthornfold.emulator import fleet as fleets
from hawthornfold.emulator import load
from hawthornfold.emulator import measures
from hawthornfold.emulator import mixes
from hawthornfold.emulator import probe
from hawthornfold.emulator import processes
from hawthornfold.emulator import recorder
from hawthornfold.emulator import scenarios as scenario_tables

VARIANTS = ('tier', 'naive', 'direct')
DEFAULT_SECONDS = 50
_SEED = 20_261_203
_WARM_UP_MS = 1000.0
_BALANCER_LAG_MS = 500.0
# Time that a generator needs to load its modules and draw the schedule.
_GENERATOR_START_MS = 1200
# Maximum requests per second of a generator process, which needs about half a
# millisecond of processor time per request. Higher rates use more processes.
_RATE_PER_GENERATOR = 400.0
# Time that a run takes in addition to its load, and time to start and end a
# fleet.
_RUN_OVERHEAD_S = 2.0
_FLEET_OVERHEAD_S = 4.0
_MIN_RUN_S = 2.5
# A sub-request costs an emulated server about 0.7 ms of processor time, so a
# process with five servers stays half idle at 1.5 times their capacity.
_SERVERS_PER_PROCESS = 5
DEFAULT_NODES = 6
# Default share of a scenario's load to offer, by deployment. At full size a
# query costs 50 ms of processor time or more, so a dozen cores saturate long
# before the emulated servers do.
DEFAULT_SCALES = {'small': 1.0, 'lipovec': 0.2, 'monterrey': 0.2}


class Plan(typing.NamedTuple):
    """Variants and scenarios to run, and the length of each run."""

    deployment: deployments.Deployment
    variants: tuple[str, ...]
    scenarios: tuple[scenario_tables.Scenario, ...]
    run_seconds: float
    nodes: int
    scale: float


def plan_bench(
    seconds,
    scenario_names,
    deployment,
    variants,
    nodes=DEFAULT_NODES,
    scale=None,
):
    """Divide the time among scenarios and variants.

    Parameters
    ----------
    seconds : float
        Time limit of the whole experiment, in seconds.
    scenario_names : sequence of str
        Names; ``all`` selects every scenario.
    deployment : str
        Name of the deployment.
    variants : sequence of str
        Versions to run.
    nodes : int
        Number of entry nodes.
    scale : float, optional
        Share of each scenario's load to offer; depends on the deployment
        when None.

    Returns
    -------
    Plan
        Scenarios keep the order in which they are defined.

    Raises
    ------
    ValueError
        When a scenario, variant or deployment does not exist.

    Examples
    --------
    >>> plan = plan_bench(50, ['steady'], 'small', ['tier', 'naive'])
    >>> plan.run_seconds
    19.0
    """
    if 'all' in scenario_names:
        scenario_names = tuple(scenario_tables.SCENARIOS)
    unknown = set(scenario_names) - set(scenario_tables.SCENARIOS)
    unknown |= set(variants) - set(VARIANTS)
    if unknown or deployment not in deployments.DEPLOYMENTS:
        raise ValueError(f'unknown name: {sorted(unknown) or deployment}')
    runs = len(scenario_names) * len(variants)
    load_s = (
        seconds - len(variants) * _FLEET_OVERHEAD_S - runs * _RUN_OVERHEAD_S
    )
    return Plan(
        deployments.create_deployment(deployment),
        tuple(variants),
        tuple(
            scenario
            for name, scenario in scenario_tables.SCENARIOS.items()
            if name in scenario_names
        ),
        max(load_s / runs, _MIN_RUN_S),
        nodes,
        scale or DEFAULT_SCALES[deployment],
    )


class Bench:
    """Runs a plan and collects the results."""

    def __init__(self, plan, write):
        self._plan = plan
        self._write = write
        self._clock = create_system_clock()
        self._mix = mixes.build_mix(plan.deployment)
        self._capacity = mixes.compute_capacity(plan.deployment, self._mix)

    def run(self):
        """Run the plan; return the results by variant and scenario."""
        results = {}
        for variant in self._plan.variants:
            results[variant] = self._run_variant(variant)
        if 'naive' in results:
            results['ratio'] = {
                name: measures.compute_latency_ratios(
                    result['latency_ms'],
                    results['naive'][name]['latency_ms'],
                )
                for name, result in results.get('tier', {}).items()
            }
        return results

    def _run_variant(self, variant):
        settings = {}
        if variant == 'direct':
            settings = {'routing': {'owner_policy': 'direct'}}
        with fleets.open_fleet(
            self._plan.deployment,
            self._plan.nodes,
            seed=_SEED,
            variant='naive' if variant == 'naive' else 'tier',
            settings_extra=settings,
            servers_per_process=_SERVERS_PER_PROCESS,
        ) as fleet:
            results = {}
            direct_ms = probe.measure_direct_exchange(fleet)
            for scenario in self._plan.scenarios:
                result = self._run_scenario(fleet, scenario)
                result['direct_exchange_added_p50_ms'] = direct_ms
                results[scenario.name] = result
                self._write_summary(variant, scenario, results[scenario.name])
            return results

    def _run_scenario(self, fleet, scenario):
        positions = fleet.read_ledger_positions()
        scenario.begin(fleet)
        start_wall_ms = self._clock.wall_ms() + _GENERATOR_START_MS
        names = self._start_load(fleet, scenario, start_wall_ms)
        self._clock.sleep_ms(start_wall_ms - self._clock.wall_ms())
        before = _read_processor_usage(fleet)
        self._run_steps(fleet, scenario, start_wall_ms)
        for name in names:
            status = fleet.process(name).wait(self._plan.run_seconds + 30.0)
            if status:
                output = fleet.process(name).read_output()
                raise processes.ProcessFailure(f'{name}: {output}')
        after = _read_processor_usage(fleet)
        results = recorder.merge_results(
            json.loads(_output_path(fleet, name).read_text()) for name in names
        )
        records = fleet.collect_ledger(positions)
        scenario.end(fleet)
        return self._build_result(fleet, results, records, before, after)

    def _start_load(self, fleet, scenario, start_wall_ms):
        """Start the generator processes; return their names."""
        rate = self._capacity * scenario.load * self._plan.scale
        generator_count = -(-int(rate) // int(_RATE_PER_GENERATOR))
        names = [f'load-{number + 1}' for number in range(generator_count)]
        for number, name in enumerate(names):
            spec = load.LoadSpec(
                _SEED + number,
                rate / generator_count,
                self._plan.run_seconds,
                start_wall_ms,
                _BALANCER_LAG_MS,
                tuple(
                    (node, ports.callers)
                    for node, ports in fleet.plan.nodes.items()
                ),
                self._mix,
                str(_output_path(fleet, name)),
                min(_WARM_UP_MS, self._plan.run_seconds * 250.0),
            )
            path = fleet.write_file(f'{name}.json', load.dump_spec(spec))
            fleet.add_process(
                name, 'hawthornfold.emulator', 'load', '--spec', str(path)
            )
        return names

    def _run_steps(self, fleet, scenario, start_wall_ms):
        run_ms = self._plan.run_seconds * 1000.0
        for share, action in scenario.steps(fleet):
            due_ms = start_wall_ms + share * run_ms
            wait_ms = due_ms - self._clock.wall_ms()
            if wait_ms > 0:
                self._clock.sleep_ms(wait_ms)
            action()

    def _build_result(self, fleet, results, records, before, after):
        seconds = self._plan.run_seconds
        measured_s = seconds - min(_WARM_UP_MS / 1000.0, seconds / 4)
        sent = sum(c['sent'] for c in results['counts'].values())
        claims = results['claims']
        at_most_once = _find_at_most_once_servers(fleet.plan.deployment)
        late_ms = results['late'].get_value_at_percentile(99.0) / 1000.0
        machine_ticks = after['all'] - before['all']
        run_processor_s = (
            after['nodes']
            - before['nodes']
            + after['backends']
            - before['backends']
            + results['processor_seconds']
        )
        return {
            'latency_ms': measures.summarise_latency(results['histograms']),
            'answers': measures.summarise_counts(
                results['counts'], measured_s
            ),
            'added_p50_ms': measures.measure_added_ms(claims, records),
            **measures.count_extra_load(records),
            **measures.count_violations(claims, records, at_most_once),
            'lost': sum(c['dropped'] for c in results['counts'].values()),
            'codes': results['codes'],
            'node_cpu_ms_per_query': round(
                1000.0
                * (after['nodes'] - before['nodes'])
                / max(len(claims), 1),
                2,
            ),
            'backend_cpu_cores': round(
                (after['backends'] - before['backends']) / seconds, 2
            ),
            'machine_busy_percent': round(
                100.0
                * (after['busy'] - before['busy'])
                / max(machine_ticks, 1),
                1,
            ),
            'own_percent': round(
                100.0 * run_processor_s / seconds / os.cpu_count(), 1
            ),
            'generator_cpu_ms_per_query': round(
                1000.0 * results['processor_seconds'] / max(len(claims), 1), 2
            ),
            'generator_late_p99_ms': round(late_ms, 1),
            'measured_requests': sent,
        }

    def _write_summary(self, variant, scenario, result):
        """Write one line of totals and one line per urgency."""
        self._write(
            f'{scenario.name} {variant}: extra {result["extra_sent_percent"]}%'
            f', added p50 {result["added_p50_ms"]["node"]} ms'
            f' (direct exchange {result["direct_exchange_added_p50_ms"]})'
            f', {result["node_cpu_ms_per_query"]} ms of node cpu per query'
            f', lost {result["lost"]}, doubled {result["doubled"]}'
            f', falsely refused {result["falsely_refused"]}'
            f', machine busy {result["machine_busy_percent"]}%'
            f' ({result["own_percent"]}% by this run)'
        )
        for urgency, latency in result['latency_ms'].items():
            answers = result['answers'][urgency]
            self._write(
                f'  {urgency:10} p50 {latency["p50"]:.1f}'
                f' p99 {latency["p99"]:.1f} p99.9 {latency["p999"]:.1f} ms'
                f', coverage {answers["mean_coverage_percent"]}%'
                f' (full {answers["full_coverage_percent"]}%)'
                f', goodput {answers["goodput_per_second"]}'
                f' of {answers["offered_per_second"]}/s'
            )


def _output_path(fleet, name):
    return pathlib.Path(fleet.plan.directory) / f'{name}-results.json'


def _find_at_most_once_servers(deployment):
    """Return the names of servers whose requests must not run twice.

    Examples
    --------
    >>> len(_find_at_most_once_servers(deployments.create_small()))
    4
    """
    services = {
        rule['when']['service']
        for rule in deployment.rules
        if not rule['then']['idempotent']
    }
    return {
        name
        for group in deployment.groups
        if group.name in services
        for name in deployments.server_names(group)
    }


def _read_processor_usage(fleet):
    busy, total = measures.read_machine_ticks()
    backends = {place.process for place in fleet.plan.servers.values()}
    return {
        'nodes': fleet.processor_seconds(fleet.nodes),
        'backends': fleet.processor_seconds(backends),
        'busy': busy,
        'all': total,
    }


def run_bench(plan, write=demo.write_line):
    """Run a plan; write a summary of each run, then all results as JSON.

    Returns
    -------
    int
        Exit status.
    """
    bench = Bench(plan, write)
    write(
        f'{plan.deployment.name}: {plan.nodes} entry nodes, '
        f'{plan.deployment.server_count} backend servers, '
        f'{plan.run_seconds:.1f} s per run, load scaled by {plan.scale}'
    )
    try:
        results = bench.run()
    except processes.ProcessFailure as failure:
        write(f'the experiment failed: {failure}')
        return 1
    except KeyboardInterrupt:
        return 130
    write(json.dumps(results))
    return 0


@cappa.command(name='bench')
@dataclasses.dataclass
class BenchCommand:
    """Compare the tier with the naive version under faults and load."""

    seconds: typing.Annotated[float, cappa.Arg(long=True)] = DEFAULT_SECONDS
    scenario: typing.Annotated[
        list[str], cappa.Arg(long=True, num_args=-1)
    ] = dataclasses.field(
        default_factory=lambda: list(scenario_tables.DEFAULT_NAMES)
    )
    deployment: typing.Annotated[str, cappa.Arg(long=True)] = 'small'
    nodes: typing.Annotated[int, cappa.Arg(long=True)] = DEFAULT_NODES
    scale: typing.Annotated[float | None, cappa.Arg(long=True)] = None
    variant: typing.Annotated[list[str], cappa.Arg(long=True, num_args=-1)] = (
        dataclasses.field(default_factory=lambda: ['tier', 'naive'])
    )

    def __call__(self):
        """Run the experiments."""
        demo.raise_on_stop_signals()
        try:
            plan = plan_bench(
                self.seconds,
                self.scenario,
                self.deployment,
                self.variant,
                self.nodes,
                self.scale,
            )
        except ValueError as error:
            raise cappa.Exit(str(error), code=2)
        raise cappa.Exit(code=run_bench(plan))
