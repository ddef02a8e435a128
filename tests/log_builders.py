"""Builders of log lines in the format of the instances."""

import json


def a_log_line(event, second, **fields):
    timestamp = f'2026-12-04T10:00:{second:06.3f}+00:00'
    return json.dumps({'event': event, 'timestamp': timestamp, **fields})
