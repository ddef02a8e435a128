"""Reads the settings file that the platform writes for each process."""

import os
import pathlib
import tomllib
from collections.abc import Mapping
from typing import Any, Final, TypeAlias

from chervilstep.allowances import PROBES_PER_SECOND, Allowances
from chervilstep.exceptions import SettingsError
from chervilstep.platform.front import PLATFORM_EDGE
from chervilstep.platform.places import PLACES, Places
from chervilstep.platform.upstreams import PLATFORM_DIALECT
from chervilstep.settings import (
    Limits,
    LocatorOptions,
    Profile,
    Settings,
    ShutdownTimeouts,
)

#: Names the file.
VARIABLE: Final = 'CHERVILSTEP_BOOT'
#: As ``deploy/system.toml`` names it; the usual one of such exporters.
METRICS_PORT: Final = 9464
#: The largest answer of a server that is read.
ANSWER_LIMIT_BYTES: Final = 64 * 1024 * 1024
HEAD_LIMIT_BYTES: Final = 64 * 1024
#: Clients leave a stopped instance within this time, and some of them within
#: three times as long.
KEEP_SECONDS: Final = 2
#: Clients read at most so many addresses.
MAX_ADDRESSES: Final = 64
#: One instance of a zone can fail while its clients still have another.
ENOUGH_NEAR: Final = 2
#: The parts of the time between SIGTERM and SIGKILL in which an instance
#: serves on, and in which it finishes what runs.
OUTLAST_PART: Final = 0.55
FINISH_PART: Final = 0.35

#: What a file raises that is missing or lacks a field.
READ_ERRORS: Final = (OSError, ValueError, LookupError, TypeError)

Table: TypeAlias = Mapping[str, Any]


def read_boot(path: str | None = None) -> Settings:
    """Reads the settings, from where the environment says.

    Raises:
        SettingsError: The file is missing or lacks a field.
    """
    found = path or os.environ.get(VARIABLE, '')
    try:
        return _read(found)
    except READ_ERRORS as fault:
        raise SettingsError(f'{found}: {fault!r}') from fault


def _read(path: str) -> Settings:
    return _settings(tomllib.loads(pathlib.Path(path).read_text('utf-8')))


def _settings(table: Table) -> Settings:
    addresses = table['bindAddrs']
    bounds = table['bounds']
    # Instances are known by where their peers find them, since the seeds
    # are addresses and nothing else names an instance.
    name = addresses['control']
    host = addresses['front'].rpartition(':')[0]
    places = Places(
        addresses['directory'],
        addresses['readyAddr'],
        f'{host}:{METRICS_PORT}',
    )
    PLACES.put(name, places)
    return Settings(
        name=name,
        zone=table['zone'],
        entry_address=addresses['front'],
        peer_address=name,
        admin_address='',
        configuration_source=f'store://{table["platform"]["address"]}',
        # The platform lets nobody but the machines reach these addresses.
        peer_secret='',
        profile=Profile(
            limits=Limits(ANSWER_LIMIT_BYTES, HEAD_LIMIT_BYTES),
            allowances=_allowances(bounds),
            dialect=PLATFORM_DIALECT,
            edge=PLATFORM_EDGE,
            shutdown_timeouts=ShutdownTimeouts(
                OUTLAST_PART * bounds['graceS'], FINISH_PART * bounds['graceS']
            ),
            locator=LocatorOptions(KEEP_SECONDS, MAX_ADDRESSES, ENOUGH_NEAR),
        ),
        seeds={seed: seed for seed in table.get('seeds', ())},
    )


def _allowances(bounds: Table) -> Allowances:
    return Allowances(
        rate_window_seconds=bounds['quotaWindowS'],
        rate_excess=bounds['quotaOverage'],
        rate_excess_calls=bounds['quotaSlack'],
        retry_ratio=bounds['retryRatio'],
        retry_reserve=bounds['retrySlack'],
        retry_window_seconds=bounds['retryWindowS'],
        cold_factor=bounds['coldOverage'],
        cold_extra=bounds['coldSlack'],
        # Deployments without agreed checks do not name a bound for them.
        probes_per_second=bounds.get('probesPerS', PROBES_PER_SECOND),
    )
