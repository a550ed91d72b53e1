/**
 * Implements the `Tracer` port with the OpenTelemetry SDK.
 *
 * @module
 */
import { randomBytes } from 'node:crypto';
import { ROOT_CONTEXT, SpanKind, SpanStatusCode, trace, TraceFlags } from '@opentelemetry/api';
import type {
  Context,
  Span as OtelSpan,
  SpanContext,
  Tracer as SdkTracer,
} from '@opentelemetry/api';
import { parseTraceParent } from '@opentelemetry/core';
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http';
import { resourceFromAttributes } from '@opentelemetry/resources';
import {
  AlwaysOnSampler,
  BasicTracerProvider,
  BatchSpanProcessor,
  ParentBasedSampler,
} from '@opentelemetry/sdk-trace-base';
import type { SpanExporter } from '@opentelemetry/sdk-trace-base';
import { Hop, Tracer } from '../../ports/mod.js';
import type { Span } from '../../ports/mod.js';
import { JsonLinesExporter } from './json_lines_exporter.js';

const EXPORT_DELAY_MS = 1000;
const EXPORT_TIMEOUT_MS = 2000;
const MAX_QUEUED_SPANS = 8192;
const MAX_BATCHED_SPANS = 512;
const TRACE_ID_BYTES = 16;
const SPAN_ID_BYTES = 8;

const SPAN_KINDS: Readonly<Record<Hop, SpanKind>> = {
  [Hop.Caller]: SpanKind.CLIENT,
  [Hop.EntryHost]: SpanKind.SERVER,
  [Hop.Owner]: SpanKind.INTERNAL,
  [Hop.Dispatcher]: SpanKind.INTERNAL,
  [Hop.BackendServer]: SpanKind.CLIENT,
};

/**
 * Options of {@link OtelTracer}. Without a trace file, an OTLP URL or another exporter, the tracer
 * propagates the trace context and records no spans.
 */
export interface OtelTracerOptions {
  /** ID of this entry host, or of the other program that starts the spans. */
  readonly entryHostId: string;
  /** Resource attribute `service.name` of the spans. Default: monsoonhall. */
  readonly serviceName?: string;
  /** Resource attribute `cloud.availability_zone` of the spans. */
  readonly availabilityZone?: string;
  /** File that spans are appended to as JSON lines. */
  readonly traceFile?: string;
  /** URL that spans are sent to by OTLP over HTTP, such as `http://10.0.0.9:4318/v1/traces`. */
  readonly otlpUrl?: string;
  /** Additional exporters. */
  readonly exporters?: readonly SpanExporter[];
}

function createExporters(options: OtelTracerOptions): SpanExporter[] {
  const exporters = [...(options.exporters ?? [])];
  if (options.traceFile !== undefined) exporters.push(new JsonLinesExporter(options.traceFile));
  if (options.otlpUrl !== undefined)
    exporters.push(
      new OTLPTraceExporter({ url: options.otlpUrl, timeoutMillis: EXPORT_TIMEOUT_MS }),
    );
  return exporters;
}

function createProvider(options: OtelTracerOptions, exporters: readonly SpanExporter[]) {
  const attributes = {
    'service.name': options.serviceName ?? 'monsoonhall',
    'service.instance.id': options.entryHostId,
    'cloud.availability_zone': options.availabilityZone,
  };
  return new BasicTracerProvider({
    resource: resourceFromAttributes(attributes),
    // Set explicitly, since the SDK would otherwise configure the sampler from OTEL_* variables.
    sampler: new ParentBasedSampler({ root: new AlwaysOnSampler() }),
    spanProcessors: exporters.map(
      (exporter) =>
        new BatchSpanProcessor(exporter, {
          scheduledDelayMillis: EXPORT_DELAY_MS,
          exportTimeoutMillis: EXPORT_TIMEOUT_MS,
          maxQueueSize: MAX_QUEUED_SPANS,
          maxExportBatchSize: MAX_BATCHED_SPANS,
        }),
    ),
  });
}

function formatTraceparent(context: SpanContext): string {
  const flags = context.traceFlags.toString(16).padStart(2, '0');
  return `00-${context.traceId}-${context.spanId}-${flags}`;
}

function createRootContext(): SpanContext {
  return {
    traceId: randomBytes(TRACE_ID_BYTES).toString('hex'),
    spanId: randomBytes(SPAN_ID_BYTES).toString('hex'),
    traceFlags: TraceFlags.NONE,
  };
}

/**
 * Parses a `traceparent` header. Treats a malformed header as missing, so that a request with one
 * still succeeds and starts a new trace.
 */
function parseParent(parent: string | undefined): SpanContext | undefined {
  if (parent === undefined) return undefined;
  const context = parseTraceParent(parent.trim());
  return context && trace.isSpanContextValid(context) ? { ...context, isRemote: true } : undefined;
}

/** Whether the sampled flag, the lowest bit of the trace flags, is set. */
function isSampled(context: SpanContext): boolean {
  return context.traceFlags % 2 === 1;
}

/** A span that is recorded and exported once it ends. */
class RecordingSpan implements Span {
  readonly traceparent: string;

  readonly #span: OtelSpan;

  #hasEnded = false;

  constructor(span: OtelSpan) {
    this.#span = span;
    this.traceparent = formatTraceparent(span.spanContext());
  }

  setAttributes(fields: Readonly<Record<string, string | number | boolean>>): void {
    if (!this.#hasEnded) this.#span.setAttributes(fields);
  }

  end(error?: string): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    if (error !== undefined) {
      this.#span.setStatus({ code: SpanStatusCode.ERROR, message: error });
      this.#span.setAttribute('error.type', error);
    }
    this.#span.end();
  }
}

/** Starts spans and exports them in batches after they end. */
export class OtelTracer extends Tracer {
  readonly #provider: BasicTracerProvider | undefined;

  readonly #tracer: SdkTracer | undefined;

  /** @param options - the resource that starts the spans, and their exporters */
  constructor(options: OtelTracerOptions) {
    super();
    const exporters = createExporters(options);
    if (exporters.length === 0) return;
    this.#provider = createProvider(options, exporters);
    this.#tracer = this.#provider.getTracer('monsoonhall');
  }

  override startSpan(hop: Hop, parent?: string): Span {
    const parentContext = parseParent(parent);
    if (!this.#tracer || (parentContext && !isSampled(parentContext))) {
      // This hop records no span, so the next hop gets the parent of this one.
      const traceparent = formatTraceparent(parentContext ?? createRootContext());
      return { traceparent, setAttributes: () => undefined, end: () => undefined };
    }
    const context: Context = parentContext
      ? trace.setSpanContext(ROOT_CONTEXT, parentContext)
      : ROOT_CONTEXT;
    return new RecordingSpan(this.#tracer.startSpan(hop, { kind: SPAN_KINDS[hop] }, context));
  }

  /**
   * Exports the remaining spans and closes the exporters.
   *
   * @returns resolves once the export is complete or has failed
   */
  async stop(): Promise<void> {
    // An unreachable collector must not keep the process from stopping.
    await this.#provider?.shutdown().catch(() => undefined);
  }
}
