"""Compares policies of choice in virtual time: ``python -m lab.choice``."""

import math

import defopt

from lab import candidates
from lab.choice_model import Fleet, Options

BASELINES = ('random', 'round-robin', 'least-in-flight', 'two-choices')
POLICIES = (*BASELINES, 'home-slots')
LOADS = (0.7, 0.9)
SHARES = (0.5, 0.99, 0.999)
MS_PER_SECOND = 1000


def quantile(ordered: list[float], share: float) -> float:
    """The value below which ``share`` of the ordered values lie."""
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def most_at_cold(fleet: Fleet) -> int:
    """The most requests that any server had at once while it was cold."""
    return max(server.worst_when_cold for server in fleet.servers.values())


def figures(fleet: Fleet) -> str:
    """One line of figures of a finished run."""
    options = fleet.options
    seconds = options.duration - options.warmup
    ordered = sorted(fleet.latencies)
    quantiles = ' '.join(
        f'p{share * 100:g} {quantile(ordered, share) * MS_PER_SECOND:7.2f}'
        for share in SHARES
    )
    sheds = sum(server.shed for server in fleet.servers.values())
    messages = sum(fleet.messages.values()) / options.instances
    return (
        f'{options.policy:16} load {options.load:.2f} {quantiles} ms  '
        f'answered {fleet.results["answered"] / seconds:6.0f}/s of '
        f'{fleet.rate():6.0f}  sheds {sheds:6}  '
        f'messages {messages / options.duration:5.1f}/s a node  '
        f'at a cold server {most_at_cold(fleet)}'
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

    :param policies: names of policies; lab/candidates.py adds some
    :param loads: parts of all slots in use
    :param stragglers: 1 makes one server at a time slow, half of the time
    :param fault: "zone" withdraws one and returns it cold; "cold" turns its
        servers cold without a word
    :param slow: how many times slower a straggler is
    :param queue_limit: requests that wait at a server before it sheds
    :param sigma: spread of lognormal service times; 0 is exponential
    :param skew: exponent of the Zipf law of calls over instances
    :param instances: entry instances
    :param servers: servers of the service, with 3 slots each
    :param seconds: virtual seconds of one run, the first 4 not counted
    :param delay_ms: the one-way delay of requests and messages
    :param seed: fixes every random number
    """
    for load in loads:
        for policy in policies:
            options = Options(policy, load)
            options.stragglers = stragglers
            options.fault = fault
            options.slow = slow
            options.queue_limit = queue_limit
            options.sigma = sigma
            options.skew = skew
            options.instances = instances
            options.servers = servers
            options.duration = seconds
            options.delay = delay_ms / MS_PER_SECOND
            options.seed = seed
            fleet = Fleet(options)
            fleet.run()
            print(figures(fleet), flush=True)


if __name__ == '__main__':
    print('candidates from', candidates.__name__)
    defopt.run(compare)
