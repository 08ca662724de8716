"""State charts: YAML files beside this module, interpreted by ``transitions``."""

from monsoonpier.charts.chart import Chart, load_chart

__all__ = ["Chart", "load_chart"]
