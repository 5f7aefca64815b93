"""Plots and a page of the bench of the decisions."""

from pathlib import Path

PLOTTED = {
    "attainment_per_accelerator": "share within targets per accelerator",
    "worst_team": "share within targets, worst-served team",
    "moves": "model loads",
    "refused_within_rate": "share refused although within the rate",
}


def write_report(result, directory):
    """Write the plots and ``report.md`` to a directory.

    Parameters
    ----------
    result : dict
        As `bench.decisions.measure` returns it, with the deployment and the seeds.
    directory : pathlib.Path
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    directory = Path(directory)
    directory.mkdir(parents=True, exist_ok=True)
    lines = [
        f"# Decisions, deployment {result['deployment']}",
        "",
        f"Seeds {result['seeds']}; median and range.",
    ]
    for group in ("policies", "failures", "overload", "optimum"):
        rows = result[group]
        if rows:
            lines += ["", f"## {group.capitalize()}", "", *table(rows)]
    rows = result["policies"]
    for name, label in PLOTTED.items() if rows else ():
        figure, axes = pyplot.subplots(figsize=(8, 4.5))
        medians = [row[name]["median"] for row in rows.values()]
        below = [row[name]["median"] - row[name]["low"] for row in rows.values()]
        above = [row[name]["high"] - row[name]["median"] for row in rows.values()]
        axes.barh(list(rows), medians, xerr=[below, above])
        axes.invert_yaxis()
        axes.set_xlabel(label)
        figure.tight_layout()
        figure.savefig(directory / f"{name}.png")
        pyplot.close(figure)
        lines += ["", f"![{label}]({name}.png)"]
    (directory / "report.md").write_text("\n".join(lines) + "\n")


def table(rows):
    """Return the lines of a Markdown table."""
    names = list(next(iter(rows.values())))
    lines = ["| | " + " | ".join(names) + " |", "|---" * (len(names) + 1) + "|"]
    for title, row in rows.items():
        cells = [
            f"{row[n]['median']:.4g} ({row[n]['low']:.4g} to {row[n]['high']:.4g})"
            for n in names
        ]
        lines.append(f"| {title} | " + " | ".join(cells) + " |")
    return lines
