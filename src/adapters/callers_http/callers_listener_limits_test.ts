import t from 'tap';
import { setImmediate as waitForTurn } from 'node:timers/promises';
import fc from 'fast-check';
import {
  CHAT_BODY,
  formatChat,
  formatRequest,
  RawConnection,
  sendRaw,
  startFixture,
} from './_test_fixture.js';

const CHAT = 'POST /v1/chat/completions';

t.test('CallersListener answers slow headers and slow bodies with 408', async (t) => {
  // Guards against slow-request attacks: a caller opens many connections, sends a few bytes
  // on each and never completes a request. Without time limits these connections cost the
  // caller nothing, and they occupy all that the listener admits.
  const { port } = await startFixture(t, { headerTimeoutMs: 200, requestTimeoutMs: 300 });
  const slow = [
    '',
    'GET /v1/mod',
    formatRequest(CHAT, { 'content-length': '50' }, '{'),
    formatRequest(CHAT, { 'content-length': '50', authorization: '' }),
  ];
  const answers = await Promise.all(slow.map((text) => sendRaw(port, text)));
  t.match(answers.slice(0, 3), [/^HTTP\/1.1 408/, /"request_timeout"/, /"run":"not_run"/]);
  t.match(answers[3], /^HTTP\/1.1 401/, 'a missing key is refused before the body arrives');
  t.match(await sendRaw(port, formatChat()), /^HTTP\/1.1 200/);
});

t.test('CallersListener refuses connections over its limit and serves the others', async (t) => {
  const { port } = await startFixture(t, { maxConnections: 300 });
  const open = Array.from({ length: 300 }, () => new RawConnection(port));
  await Promise.all(open.map(({ opened }) => opened));
  open[0]?.socket.write(formatRequest('GET /v1/models', { connection: 'keep-alive' }));
  await open[0]?.waitFor(/monsoon-draft/);
  t.match(await sendRaw(port, formatChat()), /^HTTP\/1.1 503[^]*"too_many_connections"/);
  open[1]?.socket.write(formatChat());
  t.match(await open[1]?.closed, /^HTTP\/1.1 200/, 'an admitted caller is served at the limit');
  let answer = '';
  do {
    await waitForTurn();
    answer = await sendRaw(port, formatChat());
  } while (!answer.startsWith('HTTP/1.1 200'));
  t.pass('a closed connection makes room for a new one');
  open.forEach(({ socket }) => socket.destroy());
});

t.test('CallersListener drops connections far over its limit', async (t) => {
  const { port } = await startFixture(t, { maxConnections: 1 });
  const open = Array.from({ length: 129 }, () => new RawConnection(port));
  await Promise.all(open.map(({ opened }) => opened));
  t.equal(await sendRaw(port, formatChat()), '');
  open[0]?.socket.write(formatChat());
  t.match(await open[0]?.closed, /^HTTP\/1.1 200/);
  open.forEach(({ socket }) => socket.destroy());
});

t.test('CallersListener limits the total body bytes of one account', async (t) => {
  // Guards against running out of memory, and against one account shutting out all others:
  // hundreds of bodies wait for the queue at once. Each is within its own limit, but a limit
  // per body does not limit their sum.
  const { port, gateway } = await startFixture(t, { maxTotalBodyBytes: 400 });
  const { answer } = gateway;
  let release = (): void => undefined;
  gateway.answer = async (call) => {
    await new Promise<void>((resolve) => {
      release = resolve;
    });
    return answer(call);
  };
  const first = sendRaw(port, formatChat());
  while (gateway.calls.length === 0) await waitForTurn();
  t.match(await sendRaw(port, formatChat()), /^HTTP\/1.1 429[^]*"in_flight_limited"/);
  release();
  t.match(await first, /^HTTP\/1.1 200/);
  gateway.answer = answer;
  t.match(
    await sendRaw(port, formatChat()),
    /^HTTP\/1.1 200/,
    'the bytes of a finished request are released',
  );
});

t.test(
  'CallersListener makes no claim about a running request that invalid bytes follow',
  async (t) => {
    // Guards against "not run" for a request that is running: the caller sends a complete
    // request and then invalid bytes on the same connection. HTTP/1.1 answers follow the order
    // of requests, so the refusal of those bytes would be read as the first request's answer.
    const { port, gateway } = await startFixture(t);
    const aborted = new Promise((resolve) => {
      gateway.answer = (call) =>
        new Promise(() => {
          call.callerGone.addEventListener('abort', resolve);
        });
    });
    const answer = await sendRaw(
      port,
      `${formatChat({ connection: 'keep-alive' })}\x00garbage\r\n\r\n`,
    );
    t.equal(answer, '', 'the connection closes without an answer');
    await aborted;
  },
);

t.test(
  'CallersListener closes the connection of a caller that keeps sending after a refusal',
  async (t) => {
    // Guards against connections of refused callers that never end: the caller reads the
    // refusal and keeps sending, and only a timeout of minutes, or none, would close it.
    const limits = { maxUnauthenticatedBodyBytes: 100, requestTimeoutMs: 600_000 };
    const { port } = await startFixture(t, limits);
    const endless = { authorization: '', 'content-length': '999999999', connection: 'keep-alive' };
    for (const text of ['garbage\r\n\r\n', formatRequest(CHAT, endless)]) {
      const connection = new RawConnection(port, { allowHalfOpen: true });
      connection.socket.write(text);
      await connection.waitFor(/^HTTP\/1.1 40[01]/);
      while (!connection.socket.destroyed) {
        connection.socket.write('more');
        await waitForTurn();
      }
      t.match(await connection.closed, /"run":"not_run"/);
    }
  },
);

t.test('CallersListener answers or closes on any input, and continues to serve', async (t) => {
  const { port } = await startFixture(t, { headerTimeoutMs: 200, requestTimeoutMs: 200 });
  const good = formatChat();
  const piece = fc.oneof(
    fc.string({ unit: 'binary', maxLength: 40 }),
    fc.constantFrom(
      '\r\n',
      '\r\n\r\n',
      'GET /v1/models HTTP/1.1\r\n',
      'host: x\r\n',
      'expect: 100-continue\r\n',
    ),
    fc.constantFrom(
      'transfer-encoding: chunked\r\n',
      'content-length: 5\r\n',
      '5\r\nhello\r\n0\r\n\r\n',
    ),
    fc.nat(good.length).map((length) => good.slice(0, length)),
    fc.nat(good.length).map((start) => good.slice(start)),
  );
  // Twenty callers run at once, since many of their connections end only by a timeout.
  const input = fc.array(piece, { maxLength: 6 }).map((pieces) => pieces.join(''));
  const callers = fc.array(input, { minLength: 20, maxLength: 20 });
  await fc.assert(
    fc.asyncProperty(callers, async (texts) => {
      const answers = await Promise.all(texts.map((text) => sendRaw(port, text)));
      answers.forEach((answer) => t.match(answer, /^(HTTP\/1.1 [1-5]\d\d |$)/));
    }),
    { seed: 42, numRuns: 10 },
  );
  t.match(await sendRaw(port, good), /^HTTP\/1.1 200/);
});

t.test('CallersListener refuses a body in a coding that it does not decode', async (t) => {
  // Guards against coded bytes that a backend server gets as the plain body, without their header.
  const { port } = await startFixture(t);
  const body = `${CHAT_BODY.length.toString(16)}\r\n${CHAT_BODY}\r\n0\r\n\r\n`;
  const send = (coding: string): Promise<string> => {
    const headers = { 'content-length': '', 'transfer-encoding': coding };
    return sendRaw(port, formatRequest(CHAT, headers, body));
  };
  t.match(await send('gzip, chunked'), /^HTTP\/1.1 400[^]*"malformed_request"/);
  t.match(await send('identity, chunked'), /^HTTP\/1.1 200/);
});
