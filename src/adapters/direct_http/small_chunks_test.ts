import t from 'tap';
import type { Test } from 'tap';
import type { BackendExchange, BackendListener } from '../../ports/mod.js';
import { HttpDirectBackendClient } from './http_direct_backend_client.js';
import { buildRequest, startRawServer, TestDialect } from './_test_servers.js';

const HEAD = 'HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Mark: m\r\nTransfer-Encoding: chunked\r\n\r\n';
const LINE = ': busy\n';
const LINE_COUNT = 20_000;

/** Parts in which the socket may bring the bytes, each of which holds hundreds of chunks. */
const MAX_PARTS = LINE_COUNT / 100;

/** What a listener was given, in order. */
interface SeenParts {
  readonly parts: Buffer[];
  end: string | undefined;
}

/** Sends a request to a server that answers with many small chunks, and then with `last`. */
async function readChunks(
  t: Test,
  last: string,
  onPart: (seen: SeenParts, exchange: BackendExchange | undefined) => void = () => undefined,
): Promise<SeenParts> {
  const chunks = `${LINE.length.toString(16)}\r\n${LINE}\r\n`.repeat(LINE_COUNT);
  const server = await startRawServer((socket) => socket.end(`${HEAD}${chunks}${last}`));
  const client = new HttpDirectBackendClient(new TestDialect());
  t.teardown(() => {
    client.close();
    server.close();
  });
  const seen: SeenParts = { parts: [], end: undefined };
  await new Promise<void>((resolve) => {
    const finish = (end: string): void => {
      seen.end = end;
      resolve();
    };
    let exchange: BackendExchange | undefined;
    const listener: BackendListener = {
      onNotice: () => undefined,
      onHead: () => undefined,
      onBody: (bytes) => {
        seen.parts.push(bytes);
        onPart(seen, exchange);
        if (seen.end !== undefined) resolve();
      },
      onComplete: () => finish('complete'),
      onFailure: (failure) => finish(failure),
    };
    const request = {
      request: buildRequest('r-1'),
      address: server.address,
      serverId: 'engine-1',
      incarnationId: 'engine-1@1',
      accountId: 'firm-a',
      deadlineMs: 900,
      lastEventId: undefined,
      urgency: 0,
    };
    exchange = client.send(request, listener);
  });
  return seen;
}

t.test('HttpDirectBackend gives on together the chunks that it reads together', async (t) => {
  // Guards against calls that wait while hosts pass on the chunks of a faulty server one by one.
  const { parts, end } = await readChunks(t, '0\r\n\r\n');
  t.equal(end, 'complete');
  t.equal(Buffer.concat(parts).toString(), LINE.repeat(LINE_COUNT));
  t.ok(parts.length < MAX_PARTS, `${parts.length} parts of ${LINE_COUNT} chunks`);
});

t.test('HttpDirectBackend gives on all chunks before it reports a failure', async (t) => {
  // Guards against events that are lost when the answer breaks off right behind them.
  const { parts, end } = await readChunks(t, 'no chunk');
  t.equal(end, 'broken');
  t.equal(Buffer.concat(parts).toString(), LINE.repeat(LINE_COUNT));
  t.ok(parts.length < MAX_PARTS, `${parts.length} parts of ${LINE_COUNT} chunks`);
});

t.test('HttpDirectBackend gives on nothing after the call was cancelled', async (t) => {
  // Guards against parts of an answer that arrive at a call which has ended.
  const { parts } = await readChunks(t, '0\r\n\r\n', (seen, exchange) => {
    exchange?.cancel();
    Object.assign(seen, { end: 'cancelled' });
  });
  t.equal(parts.length, 1);
});
