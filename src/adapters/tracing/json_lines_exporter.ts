/**
 * Exports spans to a file of JSON lines.
 *
 * @module
 */
import { createWriteStream } from 'node:fs';
import type { WriteStream } from 'node:fs';
import { SpanStatusCode } from '@opentelemetry/api';
import { ExportResultCode, hrTimeToMilliseconds, hrTimeToTimeStamp } from '@opentelemetry/core';
import type { ExportResult } from '@opentelemetry/core';
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-base';

function buildRecord(span: ReadableSpan) {
  const { traceId, spanId } = span.spanContext();
  return {
    traceId,
    spanId,
    parentSpanId: span.parentSpanContext?.spanId,
    name: span.name,
    start: hrTimeToTimeStamp(span.startTime),
    durationMs: hrTimeToMilliseconds(span.duration),
    error: span.status.code === SpanStatusCode.ERROR ? span.status.message : undefined,
    attributes: span.attributes,
    resource: span.resource.attributes,
  };
}

/** Appends each span to a file as one line of JSON. */
export class JsonLinesExporter implements SpanExporter {
  readonly #stream: WriteStream;

  #writeError: Error | undefined;

  /** @param file - path of the file; created when missing, else appended to */
  constructor(file: string) {
    this.#stream = createWriteStream(file, { flags: 'a' });
    // When the file can't be written, such as on a full disk, only spans are lost. Without a
    // handler the error event would end the process.
    this.#stream.on('error', (error) => {
      this.#writeError = error;
    });
  }

  export(spans: ReadableSpan[], onResult: (result: ExportResult) => void): void {
    if (this.#writeError || this.#stream.writableEnded) {
      onResult({ code: ExportResultCode.FAILED, error: this.#writeError });
      return;
    }
    const text = spans.map((span) => `${JSON.stringify(buildRecord(span))}\n`).join('');
    this.#stream.write(text, (error) => {
      if (error) onResult({ code: ExportResultCode.FAILED, error });
      else onResult({ code: ExportResultCode.SUCCESS });
    });
  }

  shutdown(): Promise<void> {
    if (this.#writeError) return Promise.resolve();
    return new Promise((resolve) => {
      this.#stream.once('close', resolve);
      this.#stream.end();
    });
  }
}
