import t from 'tap';
import { BackendFailure } from '../../ports/mod.js';
import { HttpDirectBackendClient } from './http_direct_backend_client.js';
import { buildRequest, collectResult, startRawServer, TestDialect } from './_test_servers.js';
import type { ExchangeResult } from './_test_servers.js';

const HEAD = 'HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Mark: m\r\n';
const CHUNKS = '2\r\nok\r\n0\r\n\r\n';

async function readAnswer(answer: string, method = 'POST'): Promise<ExchangeResult> {
  const server = await startRawServer((socket) => socket.end(answer));
  const backend = new HttpDirectBackendClient(new TestDialect());
  const seen = await collectResult((listener) =>
    backend.send(
      {
        request: { ...buildRequest('r-1'), method },
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

t.test('HttpDirectBackend fails on an answer in a coding that it does not decode', async (t) => {
  // Guards against coded bytes that reach the caller as the plain body, without their header.
  const cases: Readonly<Record<string, string>> = {
    gzip: 'ok',
    'gzip, chunked': CHUNKS,
    'gzip\r\nTransfer-Encoding: chunked': CHUNKS,
    'chunked, gzip': CHUNKS,
    'chunked\r\nTransfer-Encoding: gzip': CHUNKS,
    'chunked, chunked': CHUNKS,
    'chunked\r\nTransfer-Encoding: chunked': CHUNKS,
    'chunked, identity': CHUNKS,
    'chunked;a=b': CHUNKS,
    'chunked,': CHUNKS,
    chunk: CHUNKS,
  };
  for (const [coding, body] of Object.entries(cases)) {
    const seen = await readAnswer(`${HEAD}Transfer-Encoding: ${coding}\r\n\r\n${body}`);
    t.match(seen, { failure: BackendFailure.Broken, head: undefined, body: '' }, coding);
  }
});

t.test('HttpDirectBackend delivers an answer whose codings change nothing', async (t) => {
  // Guards against sound answers that are refused for the way in which their coding is written.
  const cases: Readonly<Record<string, readonly [body: string, isFramed: boolean]>> = {
    CHUNKED: [CHUNKS, true],
    ', chunked': [CHUNKS, true],
    'identity, chunked': [CHUNKS, true],
    identity: ['ok', false],
    '': ['ok', false],
  };
  for (const [coding, [body, isFramed]] of Object.entries(cases)) {
    const seen = await readAnswer(`${HEAD}Transfer-Encoding: ${coding}\r\n\r\n${body}`);
    t.match(seen, { failure: undefined, body: 'ok', head: { isFramed } }, coding);
  }
});

t.test('HttpDirectBackend delivers an answer without a body, whatever its coding', async (t) => {
  // Guards against sound answers that are refused for a body that they don't have.
  const head = await readAnswer(`${HEAD}Transfer-Encoding: gzip, chunked\r\n\r\n`, 'HEAD');
  t.match(head, { failure: undefined, body: '', head: { isFramed: true } });
  const unchanged = HEAD.replace('200 OK', '304 Not Modified');
  const seen = await readAnswer(`${unchanged}Transfer-Encoding: gzip\r\n\r\n`);
  t.match(seen, { failure: undefined, body: '', head: { status: 304, isFramed: true } });
});

t.test('HttpDirectBackend fails on an answer whose length is in doubt', async (t) => {
  // Guards against a body that is cut, or joined with the next answer, where two readers differ.
  const cases = [
    'Content-Length: 2\r\nContent-Length: 3',
    'Content-Length: 2, 3',
    'Content-Length: +2',
    'Content-Length: -2',
    'Content-Length: 0x2',
    'Content-Length: ',
    'Content-Length: 2\r\nTransfer-Encoding: chunked',
    'Transfer-Encoding: chunked\r\nContent-Length: 2',
    'Content-Length: 2\r\nTransfer-Encoding: gzip',
    'Transfer-Encoding : chunked',
  ];
  for (const headers of cases) {
    const body = headers.includes('chunked') ? CHUNKS : 'okay';
    const seen = await readAnswer(`${HEAD}${headers}\r\n\r\n${body}`);
    t.match(seen, { failure: BackendFailure.Broken, head: undefined, body: '' }, headers);
  }
});
