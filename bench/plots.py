"""Plots the results in docs/figures (``make plots``)."""

import json
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  (after the choice of backend)

FOLDER = Path(__file__).parent.parent / "docs" / "figures"
SLOPES = (
    "balancer microseconds per new flow by targets of the service",
    "balancer KiB by targets known",
    "agent KiB by open flows",
    "configuration milliseconds by services",
)
POLICIES = ("random", "round robin", "product", "full knowledge")


def _slopes() -> None:
    figures = json.loads((FOLDER / "capacity.json").read_text())
    plot, axes = pyplot.subplots(2, 2, figsize=(10, 7))
    for axis, name in zip(axes.flat, SLOPES, strict=True):
        fitted = figures[name]
        xs, ys = zip(*fitted["points"], strict=True)
        axis.plot(xs, ys, "o")
        line = [fitted["intercept"] + fitted["slope"] * x for x in xs]
        axis.plot(xs, line, "-")
        axis.set_title(f"{name}\nslope {fitted['slope']:.3g}", fontsize=9)
        axis.set_ylim(bottom=0)
    plot.tight_layout()
    plot.savefig(FOLDER / "slopes.png", dpi=90)


def _imbalance() -> None:
    lines = (FOLDER / "bench.jsonl").read_text().splitlines()
    figures = [json.loads(line) for line in lines]
    figures = [f for f in figures if f["figure"] == "imbalance"]
    scenarios = list(dict.fromkeys(f["scenario"] for f in figures))
    plot, axis = pyplot.subplots(figsize=(8, 4))
    for number, policy in enumerate(POLICIES):
        values = [f["work_in_progress"] for f in figures if f["version"] == policy]
        places = [n + number * 0.2 for n in range(len(scenarios))]
        axis.bar(places, values, width=0.2, label=policy)
    axis.set_xticks([n + 0.3 for n in range(len(scenarios))], scenarios)
    axis.set_ylabel("largest over mean work in progress")
    axis.axhline(1.0, color="grey", linewidth=0.5)
    axis.legend()
    plot.tight_layout()
    plot.savefig(FOLDER / "imbalance.png", dpi=90)


if __name__ == "__main__":
    _slopes()
    _imbalance()
    print(f"wrote {FOLDER}/slopes.png and imbalance.png")
