"""State charts: TOML files in this folder, and `Chart` to interpret them."""

from monsoonpier.charts.chart import Chart, load_chart

__all__ = ["Chart", "load_chart"]
