/**
 * Traces on the OpenTelemetry SDK.
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

const KINDS: Readonly<Record<Hop, SpanKind>> = {
  [Hop.Caller]: SpanKind.CLIENT,
  [Hop.EntryHost]: SpanKind.SERVER,
  [Hop.Owner]: SpanKind.INTERNAL,
  [Hop.Dispatcher]: SpanKind.INTERNAL,
  [Hop.BackendServer]: SpanKind.CLIENT,
};

/** Options of {@link OtelTracer}. With no exporter, trace context is passed on and nothing is recorded. */
export interface OtelTracerOptions {
  /** Name of this entry host, or of whatever program starts the spans. */
  readonly entryHostId: string;
  /** Default: monsoonhall. */
  readonly serviceName?: string;
  readonly availabilityZone?: string;
  /** File that spans are appended to, one JSON line each. */
  readonly traceFile?: string;
  /** Where spans are sent to by OTLP over HTTP, such as `http://10.0.0.9:4318/v1/traces`. */
  readonly otlpUrl?: string;
  /** Further exporters. */
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
    // Given outright, since the SDK would otherwise take it from OTEL_* variables.
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

/** A malformed parent counts as none: a caller's bad header must not cost its trace or its request. */
function parseParent(parent: string | undefined): SpanContext | undefined {
  if (parent === undefined) return undefined;
  const context = parseTraceParent(parent.trim());
  return context && trace.isSpanContextValid(context) ? { ...context, isRemote: true } : undefined;
}

/** The lowest bit of the flags says that the caller records this trace. */
function isSampled(context: SpanContext): boolean {
  return context.traceFlags % 2 === 1;
}

/** A span that records. */
class RecordingSpan implements Span {
  readonly traceparent: string;

  readonly #span: OtelSpan;

  #ended = false;

  constructor(span: OtelSpan) {
    this.#span = span;
    this.traceparent = formatTraceparent(span.spanContext());
  }

  setAttributes(fields: Readonly<Record<string, string | number | boolean>>): void {
    if (!this.#ended) this.#span.setAttributes(fields);
  }

  end(error?: string): void {
    if (this.#ended) return;
    this.#ended = true;
    if (error !== undefined) {
      this.#span.setStatus({ code: SpanStatusCode.ERROR, message: error });
      this.#span.setAttribute('error.type', error);
    }
    this.#span.end();
  }
}

/** Starts spans and exports those that have ended. */
export class OtelTracer extends Tracer {
  readonly #provider: BasicTracerProvider | undefined;

  readonly #tracer: SdkTracer | undefined;

  /** @param options - who starts the spans, and where they go */
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
      // Nothing is recorded here, so the next hop's parent is the one before this hop.
      const traceparent = formatTraceparent(parentContext ?? createRootContext());
      return { traceparent, setAttributes: () => undefined, end: () => undefined };
    }
    const context: Context = parentContext
      ? trace.setSpanContext(ROOT_CONTEXT, parentContext)
      : ROOT_CONTEXT;
    return new RecordingSpan(this.#tracer.startSpan(hop, { kind: KINDS[hop] }, context));
  }

  /**
   * Exports what is left and closes the exporters.
   *
   * @returns when that is done, or has failed
   */
  async stop(): Promise<void> {
    // A collector that can't be reached must not keep a process from stopping.
    await this.#provider?.shutdown().catch(() => undefined);
  }
}
