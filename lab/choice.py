"""Compares load balancing policies in virtual time.

Run as ``python -m lab.choice``.
"""

import math

import defopt

from lab import candidates
from lab.choice_model import Fleet, Options

BASELINES = ('random', 'round-robin', 'least-in-flight', 'two-choices')
POLICIES = (*BASELINES, 'home-slots')
LOADS = (0.7, 0.9)
QUANTILES = (0.5, 0.99, 0.999)
MS_PER_SECOND = 1000


def quantile(ordered: list[float], fraction: float) -> float:
    """Returns the value below which ``fraction`` of the values lie."""
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def max_cold_in_flight(fleet: Fleet) -> int:
    """Returns the most requests in flight at any cold server."""
    return max(server.max_cold_in_flight for server in fleet.servers.values())


def summary_line(fleet: Fleet) -> str:
    """Returns a line with the results of a finished run."""
    options = fleet.options
    seconds = options.duration_seconds - options.warmup_seconds
    ordered = sorted(fleet.latencies)
    quantiles = ' '.join(
        f'p{fraction * 100:g} {quantile(ordered, fraction) * MS_PER_SECOND:7.2f}'
        for fraction in QUANTILES
    )
    sheds = sum(server.shed_count for server in fleet.servers.values())
    messages = sum(fleet.messages.values()) / options.instances
    return (
        f'{options.policy:16} load {options.load:.2f} {quantiles} ms  '
        f'answered {fleet.results["answered"] / seconds:6.0f}/s of '
        f'{fleet.calls_per_second():6.0f}  sheds {sheds:6}  '
        f'messages {messages / options.duration_seconds:5.1f}/s per node  '
        f'max in flight at a cold server {max_cold_in_flight(fleet)}'
    )


def compare(
    *,
    policies: list[str] = list(POLICIES),
    loads: list[float] = list(LOADS),
    stragglers: int = 0,
    fault: str = '',
    slow: float = 10,
    queue_limit: int = 6,
    sigma: float = 0.5,
    skew: float = 0,
    instances: int = 17,
    servers: int = 14,
    seconds: float = 20,
    delay_ms: float = 1,
    seed: int = 1,
) -> None:
    """Print the latencies of each policy at each load.

    :param policies: names of policies, those of lab/candidates.py included
    :param loads: fractions of all slots in use
    :param stragglers: 1 makes one server at a time slow, half of the time
    :param fault: "zone" withdraws a zone and restores it cold; "cold" makes
        the servers of a zone cold without a notice
    :param slow: factor by which a straggler is slower
    :param queue_limit: number of queued requests at which a server sheds
    :param sigma: sigma of lognormal service times; 0 makes them exponential
    :param skew: exponent of the Zipf distribution of calls over instances
    :param instances: entry instances
    :param servers: servers of the service, with 3 slots each
    :param seconds: virtual seconds of one run; the first 4 are not counted
    :param delay_ms: one-way delay of requests and messages
    :param seed: seed of all random numbers
    """
    for load in loads:
        for policy in policies:
            options = Options(policy, load)
            options.stragglers = stragglers
            options.fault = fault
            options.straggler_factor = slow
            options.queue_limit = queue_limit
            options.sigma = sigma
            options.zipf_exponent = skew
            options.instances = instances
            options.servers = servers
            options.duration_seconds = seconds
            options.delay_seconds = delay_ms / MS_PER_SECOND
            options.seed = seed
            fleet = Fleet(options)
            fleet.run()
            print(summary_line(fleet), flush=True)


if __name__ == '__main__':
    print('candidates from', candidates.__name__)
    defopt.run(compare)
