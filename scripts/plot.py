"""Draws an SVG bar chart for each metric of the policy benchmark."""

import json
import pathlib
import statistics
import sys

METRICS = ("goodput", "crest_service", "first_token_p99_ms", "wasted_prefill")
COLOURS = ("#888888", "#b0a090", "#c0c0a0", "#90a8c0", "#333333", "#d06030")
BAR_WIDTH = 14
GROUP_GAP = 24
PLOT_HEIGHT = 240
MARGIN = 60


def medians(rows, metric):
    """Returns the median over seeds for each (scenario, policy)."""
    values = {}
    for row in rows:
        key = (row["scenario"], row["policy"])
        values.setdefault(key, []).append(row[metric])
    return {key: statistics.median(found) for key, found in values.items()}


def draw(rows, metric):
    """Returns the SVG of one metric.

    Rows of policies with a disabled feature ("ours-...") are left out.
    """
    rows = [row for row in rows if not row["policy"].startswith("ours-")]
    median_values = medians(rows, metric)
    scenarios = list(dict.fromkeys(row["scenario"] for row in rows))
    policies = list(dict.fromkeys(row["policy"] for row in rows))
    maximum = max(median_values.values(), default=0) or 1
    group = BAR_WIDTH * len(policies) + GROUP_GAP
    width = MARGIN * 2 + group * len(scenarios)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
        f'height="{PLOT_HEIGHT + 2 * MARGIN}" font-family="sans-serif" '
        f'font-size="11">',
        f'<text x="{MARGIN}" y="20" font-size="14">{metric}, median over '
        f"seeds; the longest bar is {maximum:.3g}</text>",
    ]
    for scenario_index, scenario in enumerate(scenarios):
        left = MARGIN + scenario_index * group
        for index, policy in enumerate(policies):
            value = median_values.get((scenario, policy), 0)
            length = PLOT_HEIGHT * value / maximum
            parts.append(
                f'<rect x="{left + index * BAR_WIDTH}" '
                f'y="{MARGIN + PLOT_HEIGHT - length:.1f}" width="{BAR_WIDTH - 2}" '
                f'height="{length:.1f}" '
                f'fill="{COLOURS[index % len(COLOURS)]}">'
                f"<title>{scenario}, {policy}: {value:.4g}</title></rect>"
            )
        parts.append(
            f'<text x="{left}" y="{MARGIN + PLOT_HEIGHT + 16}">{scenario}</text>'
        )
    for index, policy in enumerate(policies):
        left = MARGIN + index * 130
        legend_y = MARGIN + PLOT_HEIGHT + 32
        colour = COLOURS[index % len(COLOURS)]
        parts.append(
            f'<rect x="{left}" y="{legend_y}" width="10" height="10" '
            f'fill="{colour}"/><text x="{left + 14}" y="{legend_y + 9}">'
            f"{policy}</text>"
        )
    parts.append("</svg>")
    return "\n".join(parts)


def main():
    source = pathlib.Path(sys.argv[1])
    rows = json.loads(source.read_text())
    for metric in METRICS:
        target = source.with_name(f"policy-{metric}.svg")
        target.write_text(draw(rows, metric))


if __name__ == "__main__":
    main()
