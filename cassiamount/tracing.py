"""OpenTelemetry spans for each hop of a request: edge, queue, backend attempt."""

import json
import re

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

TRACEPARENT = re.compile(
    rb"^00-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f]{2}$"
)


class FileExporter(SpanExporter):
    """Writes one JSON line for each span.

    Parameters
    ----------
    path : str
    """

    def __init__(self, path):
        self._file = open(path, "a", encoding="utf-8")

    def export(self, spans):
        """Write spans."""
        for span in spans:
            self._file.write(json.dumps(span_value(span)) + "\n")
        self._file.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self):
        """Close the file."""
        self._file.close()


def span_value(span):
    """Return the JSON object of a finished span."""
    return {
        "name": span.name,
        "trace_id": f"{span.context.trace_id:032x}",
        "span_id": f"{span.context.span_id:016x}",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else None,
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": dict(span.attributes),
        "resource": dict(span.resource.attributes),
    }


class NoTrace:
    """The trace of a request that is not recorded; passes `traceparent` on.

    Parameters
    ----------
    parent : str or None
        The caller's ``traceparent``.
    """

    __slots__ = ("_parent",)

    def __init__(self, parent=None):
        self._parent = parent

    def begin(self, name, **attributes):
        """Begin a span."""

    def end(self, span, **attributes):
        """End a span."""

    def traceparent(self):
        """Return the header value for the next hop, or None."""
        return self._parent


class NoTracing:
    """Records nothing."""

    __slots__ = ()

    def request(self, headers, request_id):
        """Return the trace of one request."""
        parent = _traceparent(headers)
        return NO_TRACE if parent is None else NoTrace(parent)

    def shutdown(self):
        """Do nothing."""


NO_TRACE = NoTrace()
NO_TRACING = NoTracing()


class RequestTrace:
    """The spans of one request; the first is the parent of the others."""

    __slots__ = ("_tracer", "_context", "_request_id", "_open")

    def __init__(self, tracer, context, request_id):
        self._tracer = tracer
        self._context = context
        self._request_id = request_id
        self._open = []

    def begin(self, name, **attributes):
        """Begin a span below the first one.

        Returns
        -------
        opentelemetry.trace.Span
        """
        attributes["request_id"] = self._request_id
        span = self._tracer.start_span(name, self._context, attributes=attributes)
        if not self._open:
            self._context = trace.set_span_in_context(span)
        self._open.append(span)
        return span

    def end(self, span, **attributes):
        """End a span."""
        if attributes:
            span.set_attributes(attributes)
        span.end()
        self._open.remove(span)

    def traceparent(self):
        """Return the header value that makes the innermost span the parent."""
        if not self._open:
            return None
        carrier = {}
        context = trace.set_span_in_context(self._open[-1])
        TraceContextTextMapPropagator().inject(carrier, context)
        return carrier.get("traceparent")


class Tracing:
    """Records spans.

    Parameters
    ----------
    exporter : SpanExporter
    vm : str
    sample_ratio : float
        Share of traces begun here that are recorded; the caller's own sampling
        decision takes precedence.
    """

    def __init__(self, exporter, vm, sample_ratio=1.0):
        resource = Resource({"service.name": "cassiamount", "host.name": vm})
        sampler = ParentBased(TraceIdRatioBased(sample_ratio))
        self._provider = TracerProvider(resource=resource, sampler=sampler)
        self._provider.add_span_processor(BatchSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer("cassiamount")

    def request(self, headers, request_id):
        """Return the trace of one request.

        Parameters
        ----------
        headers : list of (bytes, bytes)
        request_id : str
        """
        parent = _traceparent(headers)
        context = None
        if parent is not None:
            carrier = {"traceparent": parent}
            context = TraceContextTextMapPropagator().extract(carrier)
        return RequestTrace(self._tracer, context, request_id)

    def shutdown(self):
        """Export what is pending and stop."""
        self._provider.shutdown()


def build_tracing(exporter, vm, target="", sample_ratio=1.0):
    """Build the tracing that the settings ask for.

    Parameters
    ----------
    exporter : str
        ``none``, ``file`` or ``otlp``.
    vm : str
    target : str
        Path of the file or URL of the OTLP collector.
    sample_ratio : float
    """
    if exporter == "none":
        return NO_TRACING
    if exporter == "file":
        return Tracing(FileExporter(target), vm, sample_ratio)
    if exporter == "otlp":
        # Imported here because it loads an HTTP client that is otherwise unused.
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
            OTLPSpanExporter,
        )

        return Tracing(OTLPSpanExporter(endpoint=target), vm, sample_ratio)
    raise ValueError(f"unknown span exporter {exporter!r}")


def _traceparent(headers):
    for name, value in headers:
        if name == b"traceparent":
            return value.decode() if TRACEPARENT.match(value) else None
    return None
