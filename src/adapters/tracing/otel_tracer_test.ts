import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { InMemorySpanExporter } from '@opentelemetry/sdk-trace-base';
import t from 'tap';
import { Hop } from '../../ports/mod.js';
import { OtelTracer } from './otel_tracer.js';

const TRACE_ID = '0af7651916cd43dd8448eb211c80319c';
const PARENT_ID = 'b7ad6b7169203331';
const PARENT = `00-${TRACE_ID}-${PARENT_ID}-01`;
const TRACEPARENT = /^00-[0-9a-f]{32}-[0-9a-f]{16}-0[01]$/;

/** Keeps the spans after a shutdown, unlike the in-memory exporter of the SDK. */
class RetainingExporter extends InMemorySpanExporter {
  override shutdown(): Promise<void> {
    return Promise.resolve();
  }
}

t.test('OtelTracer propagates the trace from hop to hop', async (t) => {
  const exporter = new RetainingExporter();
  const tracer = new OtelTracer({ entryHostId: 'entry-1', exporters: [exporter] });
  const first = tracer.startSpan(Hop.EntryHost, PARENT);
  const second = tracer.startSpan(Hop.BackendServer, first.traceparent);
  second.setAttributes({ backendServer: 'engine-1' });
  second.end('backend_server_lost');
  second.end();
  first.end();
  await tracer.stop();
  t.match(first.traceparent, TRACEPARENT);
  t.match(second.traceparent, new RegExp(`^00-${TRACE_ID}-`));
  const [inner, outer] = exporter.getFinishedSpans();
  t.equal(exporter.getFinishedSpans().length, 2);
  t.equal(outer?.parentSpanContext?.spanId, PARENT_ID);
  t.equal(inner?.parentSpanContext?.spanId, outer?.spanContext().spanId);
  t.equal(inner?.name, Hop.BackendServer);
  t.match(inner?.attributes, { backendServer: 'engine-1', 'error.type': 'backend_server_lost' });
  t.match(outer?.resource.attributes, {
    'service.name': 'monsoonhall',
    'service.instance.id': 'entry-1',
  });
});

t.test('OtelTracer starts a new trace for a malformed parent', async (t) => {
  const tracer = new OtelTracer({ entryHostId: 'e', exporters: [new InMemorySpanExporter()] });
  [
    undefined,
    '',
    'nonsense',
    `00-${'0'.repeat(32)}-${PARENT_ID}-01`,
    `00-${TRACE_ID}-${'0'.repeat(16)}-01`,
    `ff-${TRACE_ID}-${PARENT_ID}-01`,
    `${PARENT}\r\nx: y`,
  ].forEach((parent) => {
    const { traceparent } = tracer.startSpan(Hop.EntryHost, parent);
    t.match(traceparent, TRACEPARENT, JSON.stringify(parent));
    t.notMatch(traceparent, TRACE_ID, JSON.stringify(parent));
  });
  await tracer.stop();
});

t.test('OtelTracer propagates the parent unchanged when it records no span', async (t) => {
  // Guards against traces with missing spans: a hop that records no span propagates an ID of its
  // own, and the next hop gets a parent that is never exported.
  const unsampled = `00-${TRACE_ID}-${PARENT_ID}-00`;
  const exporter = new RetainingExporter();
  const recording = new OtelTracer({ entryHostId: 'e', exporters: [exporter] });
  const span = recording.startSpan(Hop.EntryHost, unsampled);
  t.equal(span.traceparent, unsampled);
  span.end();
  await recording.stop();
  t.equal(exporter.getFinishedSpans().length, 0);
  const withoutExporters = new OtelTracer({ entryHostId: 'e' });
  t.equal(withoutExporters.startSpan(Hop.EntryHost, PARENT).traceparent, PARENT);
  t.match(
    withoutExporters.startSpan(Hop.EntryHost).traceparent,
    /^00-[0-9a-f]{32}-[0-9a-f]{16}-00$/,
  );
  await withoutExporters.stop();
});

t.test('OtelTracer appends each span to the trace file', async (t) => {
  const folder = mkdtempSync(path.join(tmpdir(), 'monsoonhall-'));
  t.teardown(() => rmSync(folder, { recursive: true }));
  const traceFile = path.join(folder, 'spans.jsonl');
  const tracer = new OtelTracer({ entryHostId: 'entry-1', traceFile });
  tracer.startSpan(Hop.Owner, PARENT).end();
  tracer.startSpan(Hop.Dispatcher, PARENT).end('queue_full');
  await tracer.stop();
  const lines = readFileSync(traceFile, 'utf8').trimEnd().split('\n');
  const spans = lines.map((line) => JSON.parse(line) as Record<string, unknown>);
  t.match(spans, [
    { traceId: TRACE_ID, parentSpanId: PARENT_ID, name: Hop.Owner },
    { traceId: TRACE_ID, parentSpanId: PARENT_ID, name: Hop.Dispatcher, error: 'queue_full' },
  ]);
});

t.test('OtelTracer sends spans by OTLP over HTTP', async (t) => {
  const bodies: string[] = [];
  const collector = createServer((request, response) => {
    request.on('data', (part: Buffer) => bodies.push(part.toString('utf8')));
    request.on('end', () => response.writeHead(200).end('{}'));
  });
  await new Promise<void>((resolve) => {
    collector.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    collector.close();
    collector.closeAllConnections();
  });
  const { port } = collector.address() as AddressInfo;
  const otlpUrl = `http://127.0.0.1:${port}/v1/traces`;
  const tracer = new OtelTracer({ entryHostId: 'entry-1', otlpUrl });
  tracer.startSpan(Hop.Owner, PARENT).end();
  await tracer.stop();
  t.match(bodies.join(''), TRACE_ID);
  t.match(bodies.join(''), 'entry-1');
});

t.test('OtelTracer stops when its exporters cannot write', async (t) => {
  const unwritable = '/nowhere/spans.jsonl';
  const otlpUrl = 'http://127.0.0.1:1/v1/traces';
  const tracer = new OtelTracer({ entryHostId: 'e', traceFile: unwritable, otlpUrl });
  tracer.startSpan(Hop.Owner).end();
  await tracer.stop();
  t.pass('stopped');
});
