"""Renders the burn-rate report as an HTML page with a plot."""

import base64
import io
from typing import Final

import jinja2

from chervilstep.queries.burnrate import WINDOW_MINUTES, BurnRate

#: Only the first rows, those with the highest burn rates, are plotted.
MAX_PLOTTED_ROWS: Final = 12
_BAR_HEIGHT_INCHES: Final = 0.45

_PAGE: Final = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Burn rates</title>
<style>
body { font-family: sans-serif; margin: 2em }
td, th { padding: 0.2em 0.8em; text-align: right }
td:nth-child(-n+3), th:nth-child(-n+3) { text-align: left }
.page { background: #fdd }
</style></head><body>
<h1>Burn rates of service-level objectives</h1>
<p>The burn rate of the error budget in each window; a rate of 1 just meets
the objective.</p>
{% if plot %}<img alt="burn rates" src="data:image/png;base64,{{ plot }}">
{% endif %}<table><tr><th>indicator</th><th>kind</th><th>name</th>
{% for window in windows %}<th>{{ window }}</th>{% endfor %}<th>alert</th></tr>
{% for row in rows %}<tr class="{{ row.alert }}"><td>{{ row.indicator }}</td>
<td>{{ row.kind }}</td><td>{{ row.subject }}</td>
{% for window in windows %}<td>{{ '%.2f' | format(row.rates[window]) }}</td>
{% endfor %}<td>{{ row.alert }}</td></tr>
{% endfor %}</table></body></html>
"""


def burn_rate_page(rows: tuple[BurnRate, ...]) -> str:
    """Returns the burn-rate report as an HTML page with an inline plot."""
    template = jinja2.Environment(autoescape=True).from_string(_PAGE)
    plot = _plot_png(rows[:MAX_PLOTTED_ROWS]) if rows else ''
    return template.render(rows=rows, windows=WINDOW_MINUTES, plot=plot)


def _plot_png(rows: tuple[BurnRate, ...]) -> str:
    # Imported here since matplotlib is slow to load and only needed here.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8, 1 + _BAR_HEIGHT_INCHES * len(rows)))
    axes = figure.add_subplot()
    labels = [f'{row.indicator} {row.subject}' for row in rows]
    for window_index, window in enumerate(WINDOW_MINUTES):
        offsets = [
            row_index + window_index / (len(WINDOW_MINUTES) + 1)
            for row_index in range(len(rows))
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
