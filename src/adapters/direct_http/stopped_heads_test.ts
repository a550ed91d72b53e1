import t from 'tap';
import { BackendFailure } from '../../ports/mod.js';
import { HttpDirectBackendClient } from './http_direct_backend_client.js';
import { buildRequest, collectResult, startRawServer, TestDialect } from './_test_servers.js';
import type { ExchangeResult } from './_test_servers.js';

const HEAD = 'HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Mark: m\r\n';
const INFORMATION = 'HTTP/1.1 103 Early\r\nLink: a\r\n\r\n';
const NEXT = `${HEAD}Content-Length: 2\r\n\r\nok`;

/** Headers of an answer whose body might be the beginning of the next one. */
const FRAMINGS = ['Content-Length: 12\r\n', 'Connection: close\r\n', ''];

/** @returns the answer to a request whose server writes some parts and closes the connection */
async function readParts(parts: readonly string[]): Promise<ExchangeResult> {
  const server = await startRawServer((socket) => {
    const [first = '', ...others] = parts;
    const last = (): unknown => socket.end(others.join(''));
    if (others.length === 0) socket.end(first);
    else socket.write(first, () => setImmediate(last));
  });
  const backend = new HttpDirectBackendClient(new TestDialect());
  const seen = await collectResult((listener) =>
    backend.send(
      {
        request: buildRequest('r-1'),
        address: server.address,
        serverId: 'engine-1',
        incarnationId: 'engine-1@1',
        accountId: 'firm-a',
        deadlineMs: 900,
        lastEventId: undefined,
        urgency: 0,
      },
      listener,
    ),
  );
  backend.close();
  server.close();
  return seen;
}

t.test('HttpDirectBackend fails on a head that another answer seems to complete', async (t) => {
  // Guards against a caller that gets the head of the next answer as the body of this one.
  for (const framing of FRAMINGS) {
    for (const before of ['', INFORMATION]) {
      for (const end of ['\r', '']) {
        const head = `${before}${HEAD}${framing}${end}`;
        for (const parts of [[`${head}${NEXT}`], [head, NEXT]]) {
          const seen = await readParts(parts);
          const name = JSON.stringify(parts);
          t.match(seen, { body: '', failure: BackendFailure.Broken }, name);
        }
      }
    }
  }
});

t.test('HttpDirectBackend reads a whole head in any parts', async (t) => {
  // Guards against sound answers that are refused for the way in which they arrive.
  for (const before of ['', '\r\n', INFORMATION, `${INFORMATION}${INFORMATION}`]) {
    const text = `${before}${NEXT}`;
    for (let length = 1; length <= text.length; length += 5) {
      const seen = await readParts([text.slice(0, length), text.slice(length)]);
      t.match(seen, { body: 'ok', failure: undefined }, `${length} bytes of ${text}`);
    }
  }
  const lines = 'one\rtwo\r\r\n\rthree';
  const seen = await readParts([`${HEAD}Content-Length: ${lines.length}\r\n\r\n${lines}`]);
  t.match(seen, { body: lines, failure: undefined }, 'a body may have other line ends');
});
