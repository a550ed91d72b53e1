import { once } from 'node:events';
import { connect } from 'node:net';
import t from 'tap';
import type { DirectRequest } from '../../ports/mod.js';
import { FakeLog } from '../../../test/support/fakes.js';
import { TestDialect } from './_test_servers.js';
import { DirectListener } from './direct_listener.js';

const LIMITS = {
  maxHeaderBytes: 10_000,
  maxBodyBytes: 100_000,
  headerTimeoutMs: 2_000,
  idleTimeoutMs: 2_000,
};
const HEAD = 'POST /a HTTP/1.1\r\nHost: a\r\nX-Id: r-1\r\n';
const CHUNKS = '2\r\nok\r\n0\r\n\r\n';

/** A second request, which must never be read as part of a body, nor a body as part of it. */
const NEXT = 'GET /next HTTP/1.1\r\nHost: a\r\nX-Id: r-2\r\nConnection: close\r\n\r\n';

/** @returns the status lines that a caller gets, and the requests that are handled */
async function sendRequests(text: string): Promise<[statuses: string[], seen: DirectRequest[]]> {
  const seen: DirectRequest[] = [];
  const listener = new DirectListener({
    dialect: new TestDialect(),
    getLimits: () => LIMITS,
    mustClose: () => false,
    handle: (request, reply) => {
      seen.push(request);
      reply.sendAnswer({ status: 200, headers: [], isFramed: true }, Buffer.from('ok'));
    },
    log: new FakeLog(),
    onCallerTooSlow: () => undefined,
  });
  const socket = connect({ port: await listener.start('127.0.0.1', 0), host: '127.0.0.1' });
  let answers = '';
  socket.on('data', (bytes) => {
    answers += bytes.toString('latin1');
  });
  socket.write(text);
  await once(socket, 'close');
  listener.stop();
  return [[...answers.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => String(status)), seen];
}

t.test('DirectListener refuses a body in a coding that it does not decode', async (t) => {
  // Guards against coded bytes that a backend server gets as the plain body, without their header.
  for (const coding of ['gzip, chunked', 'gzip\r\nTransfer-Encoding: chunked']) {
    const request = `${HEAD}Transfer-Encoding: ${coding}\r\n\r\n${CHUNKS}`;
    const [statuses, seen] = await sendRequests(`${request}${NEXT}`);
    t.same(statuses, ['400', '200'], coding);
    t.same(
      seen.map(({ requestId }) => requestId),
      ['r-2'],
      coding,
    );
  }
});

t.test('DirectListener takes a body whose codings change nothing', async (t) => {
  // Guards against sound requests that are refused for the way in which their coding is written.
  for (const coding of ['CHUNKED', ', chunked', 'identity, chunked']) {
    const request = `${HEAD}Transfer-Encoding: ${coding}\r\n\r\n${CHUNKS}`;
    const [statuses, seen] = await sendRequests(`${request}${NEXT}`);
    t.same(statuses, ['200', '200'], coding);
    t.match(seen, [{ requestId: 'r-1', body: Buffer.from('ok') }, { requestId: 'r-2' }], coding);
  }
});

t.test('DirectListener closes a connection whose request has a length in doubt', async (t) => {
  // Guards against a body that is read as the next request where two readers differ on its end.
  const cases = [
    'Transfer-Encoding: gzip',
    'Transfer-Encoding: identity',
    'Transfer-Encoding: chunked, gzip',
    'Transfer-Encoding: chunked, chunked',
    'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked',
    'Transfer-Encoding: chunked;a=b',
    'Transfer-Encoding: chunked,',
    'Transfer-Encoding : chunked',
    'Transfer-Encoding:\r\n chunked',
    'Transfer-Encoding: chunked\r\nContent-Length: 2',
    'Content-Length: 2\r\nTransfer-Encoding: chunked',
    'Content-Length: 2\r\nContent-Length: 3',
    'Content-Length: 2, 2',
    'Content-Length: +2',
    'Content-Length: 0x2',
  ];
  for (const headers of cases) {
    const [statuses, seen] = await sendRequests(`${HEAD}${headers}\r\n\r\n${CHUNKS}${NEXT}`);
    t.same(statuses, ['400'], headers);
    t.same(seen, [], headers);
  }
});
