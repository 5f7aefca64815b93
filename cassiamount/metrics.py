"""Counters and latencies of one process in Prometheus text format."""

from hdrh.histogram import HdrHistogram

from . import invariants

PREFIX = "cassiamount_"
QUANTILES = (0.5, 0.9, 0.95, 0.99, 0.999)
# Latencies are kept in microseconds from 1 us to 1 h with two significant digits.
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
# Series kept at most; a label that takes unexpected values must not fill the memory.
MAX_SERIES = 2_000
OVERFLOW = (("overflow", "true"),)


class Latency:
    """Latencies of one kind.

    Notes
    -----
    The histogram covers the life of the process, as Prometheus summaries do.
    """

    __slots__ = ("histogram", "sum_ms")

    def __init__(self):
        self.histogram = HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS)
        self.sum_ms = 0.0

    def record_ms(self, value_ms):
        """Add one latency."""
        self.histogram.record_value(min(max(1, int(value_ms * 1000)), HIGHEST_US))
        self.sum_ms += value_ms

    def quantile_ms(self, quantile):
        """Return a quantile, for example 0.99."""
        return self.histogram.get_value_at_percentile(quantile * 100) / 1000


class Metrics:
    """All counters and latencies of one process."""

    def __init__(self):
        self._counters = {}
        self._latencies = {}
        self._gauges = {}
        # Requests of callers that have ended, whatever their status.
        self.requests_ended = 0

    def count(self, name, amount=1, **labels):
        """Add to a counter.

        Parameters
        ----------
        name : str
            Without the common prefix; ends in ``_total``.
        amount : int or float
        **labels
            Few different values each.
        """
        key = (name, tuple(sorted(labels.items())) if labels else ())
        counters = self._counters
        if key not in counters and len(counters) >= MAX_SERIES:
            key = (name, OVERFLOW)
        counters[key] = counters.get(key, 0) + amount

    def counter(self, name, **labels):
        """Return the value of a counter."""
        return self._counters.get((name, tuple(sorted(labels.items()))), 0)

    def observe_ms(self, name, value_ms, **labels):
        """Record a latency; `name` ends in ``_ms``."""
        key = (name, tuple(sorted(labels.items())) if labels else ())
        latency = self._latencies.get(key)
        if latency is None:
            if len(self._latencies) >= MAX_SERIES:
                return
            latency = self._latencies[key] = Latency()
        latency.record_ms(value_ms)

    def latency(self, name, **labels):
        """Return a `Latency`, or None if nothing was recorded."""
        return self._latencies.get((name, tuple(sorted(labels.items()))))

    def gauge(self, name, read):
        """Register a function that returns the current value of a gauge."""
        self._gauges[name] = read

    def request_ended(self, status, code, took_ms):
        """Count one request of a caller."""
        self.requests_ended += 1
        self.count("requests_total", status=status, code=code)
        self.observe_ms("request_ms", took_ms)

    def render(self):
        """Return everything in Prometheus text format, version 0.0.4."""
        lines = []
        counters = dict(self._counters)
        for name, value in invariants.checks.items():
            counters["invariant_checks_total", (("name", name),)] = value
        for name, value in invariants.violations.items():
            counters["invariant_failures_total", (("name", name),)] = value
        self._render_group(lines, counters.items(), "counter", _counter_lines)
        self._render_group(lines, self._latencies.items(), "summary", _summary_lines)
        for name, read in sorted(self._gauges.items()):
            lines.append(f"# TYPE {PREFIX}{name} gauge")
            lines.append(f"{PREFIX}{name} {read()}")
        return "\n".join(lines) + "\n"

    def _render_group(self, lines, series, kind, series_lines):
        previous = None
        for (name, labels), value in sorted(
            series, key=lambda item: (item[0][0], str(item[0][1]))
        ):
            if name != previous:
                lines.append(f"# TYPE {PREFIX}{name} {kind}")
                previous = name
            lines.extend(series_lines(PREFIX + name, labels, value))


def _counter_lines(name, labels, value):
    return [f"{name}{_labels(labels)} {value}"]


def _summary_lines(name, labels, latency):
    lines = []
    for quantile in QUANTILES:
        text = _labels((*labels, ("quantile", quantile)))
        lines.append(f"{name}{text} {latency.quantile_ms(quantile)}")
    lines.append(f"{name}_sum{_labels(labels)} {latency.sum_ms}")
    count = latency.histogram.get_total_count()
    lines.append(f"{name}_count{_labels(labels)} {count}")
    return lines


def _labels(labels):
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{_escape(value)}"' for name, value in labels) + "}"


def _escape(value):
    text = str(value).replace("\\", "\\\\").replace('"', '\\"')
    return text.replace("\n", "\\n")
