/**
 * Traces by OpenTelemetry: a span a hop, W3C trace context taken in and passed
 * on, exported to a file of JSON lines, by OTLP over HTTP, or nowhere.
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
