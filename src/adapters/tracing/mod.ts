/**
 * Provides tracing with OpenTelemetry: one span per hop, with W3C trace context propagation.
 * Spans are exported to a file of JSON lines, by OTLP over HTTP, or not at all.
 *
 * ```ts
 * const tracer = new OtelTracer({ entryHostId: 'entry-1', traceFile: '/tmp/spans.jsonl' });
 * const span = tracer.startSpan(Hop.EntryHost, request.headers.traceparent);
 * span.end();
 * await tracer.stop();
 * ```
 *
 * @module
 */
export { OtelTracer } from './otel_tracer.js';
export type { OtelTracerOptions } from './otel_tracer.js';
export { JsonLinesExporter } from './json_lines_exporter.js';
