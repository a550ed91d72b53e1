import { Agent } from 'node:http';
import t from 'tap';
import {
  ENDLESS_FRAMES,
  ENDLESS_HEADS,
  MAX_BUFFERED_BYTES,
  startEndlessServer,
} from '../../../test/support/endless_server.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { fetchResponse } from './fetch_response.js';

t.test('fetchResponse() fails on a response that never becomes one', async (t) => {
  // Guards against a server that holds a read and processor time for the whole wait of a watch.
  const agent = new Agent({ keepAlive: true });
  t.teardown(() => agent.destroy());
  for (const [name, [first, repeated]] of Object.entries({ ...ENDLESS_HEADS, ...ENDLESS_FRAMES })) {
    const server = await startEndlessServer(t, first, repeated);
    const response = fetchResponse({
      url: new URL(`http://${server.address}/`),
      agent,
      clock: new VirtualClock(),
      connectTimeoutMs: 1_000,
      responseTimeoutMs: 30_000,
      maxBytes: 1_000_000,
    });
    await t.rejects(response, name);
    await server.closed;
    t.ok(server.countSent() < MAX_BUFFERED_BYTES, `${name}: the connection closes early`);
  }
});
