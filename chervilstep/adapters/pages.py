"""Writes reports as HTML pages with plots."""

import base64
import io
from typing import Final

import jinja2

from chervilstep.queries.burnrate import WINDOW_MINUTES, BurnRate

#: How many of the fastest burns are plotted.
PLOTTED_ROWS: Final = 12
_BAR_HEIGHT_INCHES: Final = 0.45

_PAGE: Final = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em }
td, th { padding: 0.2em 0.8em; text-align: right }
td:nth-child(-n+3), th:nth-child(-n+3) { text-align: left }
.page { background: #fdd }
</style></head><body>
<h1>Service-level burn</h1>
<p>How often the error budget is spent over, by window; one just meets the
objective.</p>
{% if plot %}<img alt="burn rates" src="data:image/png;base64,{{ plot }}">
{% endif %}<table><tr><th>indicator</th><th>of</th><th>name</th>
{% for window in windows %}<th>{{ window }}</th>{% endfor %}<th>alert</th></tr>
{% for row in rows %}<tr class="{{ row.alert }}"><td>{{ row.indicator }}</td>
<td>{{ row.kind }}</td><td>{{ row.subject }}</td>
{% for window in windows %}<td>{{ '%.2f' | format(row.rates[window]) }}</td>
{% endfor %}<td>{{ row.alert }}</td></tr>
{% endfor %}</table></body></html>
"""


def burn_page(rows: tuple[BurnRate, ...]) -> str:
    """The burn report as a page of its own, with its plot inside."""
    template = jinja2.Environment(autoescape=True).from_string(_PAGE)
    plot = _plot(rows[:PLOTTED_ROWS]) if rows else ''
    return template.render(rows=rows, windows=WINDOW_MINUTES, plot=plot)


def _plot(rows: tuple[BurnRate, ...]) -> str:
    # The library takes long to load and is needed here only.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8, 1 + _BAR_HEIGHT_INCHES * len(rows)))
    axes = figure.add_subplot()
    labels = [f'{row.indicator} {row.subject}' for row in rows]
    for place, window in enumerate(WINDOW_MINUTES):
        offsets = [
            number + place / (len(WINDOW_MINUTES) + 1)
            for number in range(len(rows))
        ]
        axes.barh(
            offsets,
            [row.rates[window] for row in rows],
            height=1 / (len(WINDOW_MINUTES) + 1),
            label=window,
        )
    axes.set_yticks(range(len(rows)), labels)
    axes.invert_yaxis()
    axes.set_xlabel('burn rate')
    axes.legend()
    figure.tight_layout()
    image = io.BytesIO()
    figure.savefig(image, format='png')
    return base64.b64encode(image.getvalue()).decode()
