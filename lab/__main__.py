"""The command line of the lab."""

import asyncio
import json
import pathlib
import shutil
import sys
import tempfile
import time

import defopt
import uvloop

from chervilstep.exceptions import UnknownName
from lab.commands.scenarios import SCENARIOS
from lab.control import new_upstreams, serve_upstreams
from lab.demo import run_demo
from lab.deployment import Deployment, new_deployment
from lab.experiment import Trial, TrialRunner, collect_measures
from lab.generate import generate as generate_part
from lab.idle_cost import measure_idle_cost, print_cost
from lab.measures import Measures
from lab.plans import PLANS
from lab.platform import serve_platform
from lab.processes import Processes
from lab.queries.demands import FAULT_SEPARATOR, HEADROOM
from lab.scaled import new_scaled_plan
from lab.soak import DEFAULT_INSTANCES, run_soak

OUTPUT_DIR = pathlib.Path(__file__).parent / 'out'


def demo() -> int:
    """Start a small deployment and send calls through it."""
    return run_demo()


def experiment(
    *,
    deployment: str = 'nz',
    policies: list[str] | None = None,
    faults: list[str] | None = None,
    load: float = 0.7,
    rate: float = 800,
    seconds: float = 20,
    rounds: int = 1,
    instances: int = 0,
    headroom: float = HEADROOM,
    seed: int = 1,
) -> int:
    """Compare policies under faults and print the measures.

    :param deployment: nz or sk
    :param policies: policies of services, run in alternation; "default"
        keeps the policy of the document
    :param faults: names of scenarios, listed in docs/LAB.md
    :param load: the fraction of all slots in use
    :param rate: requests per second over all customers
    :param seconds: the seconds during which one turn sends requests
    :param rounds: the number of turns of each policy under each fault
    :param instances: entry instances; 0 means the number of the deployment
    :param headroom: the ratio of each customer's rate to what it sends
    :param seed: the seed of the arrivals and the service times
    """
    # Importing matplotlib is slow, and the child processes don't need it.
    from lab.report import describe_trial, print_summary, write_report

    names = faults or ['none']
    for name in names:
        for scenario in name.split(FAULT_SEPARATOR):
            SCENARIOS.find(scenario)
    plan = PLANS.find(deployment)()
    trial = Trial(
        plan,
        ['' if name == 'default' else name for name in policies or ['']],
        names,
        load=load,
        rate=rate,
        seconds=seconds,
        rounds=rounds,
        headroom=headroom,
        seed=seed,
    )
    print(describe_trial(trial))
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with Processes(folder) as processes:
            started = new_deployment(
                plan, instances or plan.instances, processes, folder
            )
            runner = TrialRunner(trial, started, folder)
            try:
                measured = uvloop.run(_run(runner, started))
            finally:
                _copy_logs(folder)
    print_summary(measured)
    target = OUTPUT_DIR / time.strftime(f'{deployment}-%Y%m%d-%H%M%S')
    print(f'\nWrote {write_report(target, trial, runner, measured)}.')
    clean = all(
        measures.checks.are_clean
        for by_policy in measured.values()
        for measures in by_policy.values()
    )
    return 0 if clean else 1


async def _run(
    runner: TrialRunner, deployment: Deployment
) -> dict[str, dict[str, Measures]]:
    await runner.start()
    await runner.run()
    return await collect_measures(runner, deployment)


def _copy_logs(folder: pathlib.Path) -> None:
    """Copies the non-empty logs of the processes to the output folder."""
    target = OUTPUT_DIR / 'logs'
    shutil.rmtree(target, ignore_errors=True)
    target.mkdir(parents=True)
    for log in folder.glob('*.log'):
        if log.stat().st_size:
            shutil.copy(log, target)


def slopes(
    instances: list[int],
    *,
    services: int = 4,
    servers: int = 36,
    customers: int = 8,
    seconds: float = 20,
) -> int:
    """Measure the cost of an idle instance in deployments of several sizes.

    :param instances: numbers of entry instances, one deployment each
    :param services: the number of services in the document
    :param servers: the number of upstreams in the document
    :param customers: the number of customers in the document
    :param seconds: the seconds over which each deployment is measured
    """
    for count in instances:
        plan = new_scaled_plan(count, services, servers, customers)
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            with Processes(folder) as processes:
                started = new_deployment(plan, count, processes, folder)
                cost = uvloop.run(measure_idle_cost(started, seconds))
        label = f'{count} instances, {services} services, {servers} servers'
        print_cost(f'{label}, {customers} customers', cost)
    return 0


def generate(spec: str, target: str) -> int:
    """Send one generator's share of the load of a turn.

    :param spec: path of a JSON file that lab/experiment.py writes
    :param target: path of the file to which the result rows are written
    """
    options = json.loads(pathlib.Path(spec).read_text())
    uvloop.run(generate_part(options, pathlib.Path(target)))
    return 0


def upstream(spec: str) -> int:
    """Serve the upstreams that a specification lists.

    :param spec: path of a JSON file that lab/deployment.py writes
    """
    options = json.loads(pathlib.Path(spec).read_text())
    hosted = new_upstreams(
        options['ports'], options['traits'], options['connection_limit']
    )
    uvloop.run(serve_upstreams(hosted, options['control_port']))
    return 0


def platform(port: int, control_port: int) -> int:
    """Serve the stand-in for the platform's store.

    :param port: the port on which the store is served
    :param control_port: the port on which items are set and faults injected
    """
    asyncio.run(serve_platform(port, control_port))
    return 0


def soak(
    *,
    seeds: list[int],
    seconds: float = 20,
    instances: int = DEFAULT_INSTANCES,
) -> int:
    """Run real processes under random faults and check their guarantees.

    :param seeds: the seeds of the load and faults, one soak each
    :param seconds: the seconds during which each soak injects faults
    :param instances: the number of entry instances
    """
    return min(1, run_soak(seeds, seconds, instances))


def main() -> int:
    """Runs the subcommand that the command line names."""
    commands = [
        demo,
        experiment,
        slopes,
        soak,
        generate,
        upstream,
        platform,
    ]
    try:
        status: int = defopt.run(commands)
    except UnknownName as error:
        print(error, file=sys.stderr)
        return 2
    return status


if __name__ == '__main__':
    sys.exit(main())
