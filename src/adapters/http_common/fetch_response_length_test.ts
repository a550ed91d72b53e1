import { once } from 'node:events';
import { Agent, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import t from 'tap';
import type { Test } from 'tap';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { fetchResponse, ResponseCutOffError, ResponseTooLongError } from './mod.js';

const MAX_BYTES = 4_000_000;

const WHOLE_BYTES = 3_000_000;

/** Reads a response of which the server sends a part before it closes the connection. */
async function fetchPart(t: Test, sentBytes: number, wholeBytes = WHOLE_BYTES): Promise<number> {
  const server = createServer((_request, response) => {
    response.writeHead(200, { 'content-length': wholeBytes });
    response.write(Buffer.alloc(sentBytes), () => response.socket?.end());
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const agent = new Agent();
  t.teardown(() => {
    agent.destroy();
    server.closeAllConnections();
    server.close();
  });
  const { body } = await fetchResponse({
    url: new URL(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`),
    agent,
    clock: new VirtualClock(),
    connectTimeoutMs: 1_000,
    responseTimeoutMs: 1_000,
    maxBytes: MAX_BYTES,
  });
  return body.length;
}

t.test('fetchResponse() reads a whole response', async (t) => {
  t.equal(await fetchPart(t, WHOLE_BYTES), WHOLE_BYTES);
  t.equal(await fetchPart(t, MAX_BYTES, MAX_BYTES), MAX_BYTES);
});

t.test('fetchResponse() rejects a response that is too long', async (t) => {
  await t.rejects(fetchPart(t, MAX_BYTES + 1, MAX_BYTES + 1), ResponseTooLongError);
});

// Guards against a host that asks again and again for what it can't read in the time that it has.
t.test('fetchResponse() tells a long response that breaks off from a lost one', async (t) => {
  await t.rejects(fetchPart(t, 2_000_000), ResponseCutOffError);
  const lost = await fetchPart(t, 1_000).catch((error: unknown) => error);
  t.ok(lost instanceof Error);
  t.notOk(lost instanceof ResponseTooLongError);
});
