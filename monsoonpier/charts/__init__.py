"""State charts: TOML files beside this module, which `Chart` interprets."""

from monsoonpier.charts.chart import Chart, load_chart

__all__ = ["Chart", "load_chart"]
