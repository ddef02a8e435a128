"""Tests of the distributed binary."""

import os
import subprocess
import sys

from tools.binary import build

MINIMAL_ENVIRONMENT = {'PATH': os.environ['PATH']}


def run_binary(binary, *arguments):
    return subprocess.run(
        [
            getattr(sys, '_base_executable', sys.executable),
            '-I',
            binary,
            *arguments,
        ],
        env=MINIMAL_ENVIRONMENT,
        capture_output=True,
        text=True,
        check=False,
    )


def test_binary_runs_without_installed_libraries(tmp_path):
    binary = build(tmp_path / 'chervilstep')
    version = run_binary(binary, '--version')
    assert (version.returncode, version.stdout) == (0, '0.1.0\n')
    # This command imports all adapters, and with them all C extensions.
    settings = tmp_path / 'settings.toml'
    settings.write_text('zone = 3\n')
    refused = run_binary(binary, 'serve', '--settings', settings)
    assert refused.returncode == 2
    assert 'name: is missing' in refused.stderr
