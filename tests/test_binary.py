"""Tests of the one file that is shipped."""

import os
import subprocess
import sys

from tools.binary import build

PLAIN_ENVIRONMENT = {'PATH': os.environ['PATH']}


def run(binary, *arguments):
    return subprocess.run(
        [
            getattr(sys, '_base_executable', sys.executable),
            '-I',
            binary,
            *arguments,
        ],
        env=PLAIN_ENVIRONMENT,
        capture_output=True,
        text=True,
        check=False,
    )


def test_the_file_runs_without_the_libraries_being_installed(tmp_path):
    binary = build(tmp_path / 'chervilstep')
    shown = run(binary, '--version')
    assert (shown.returncode, shown.stdout) == (0, '0.1.0\n')
    # This imports every adapter and so every extension.
    settings = tmp_path / 'settings.toml'
    settings.write_text('zone = 3\n')
    refused = run(binary, 'serve', '--settings', settings)
    assert refused.returncode == 2
    assert 'name: is missing' in refused.stderr
