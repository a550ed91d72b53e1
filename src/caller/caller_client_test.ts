import type { ServerResponse } from 'node:http';
import fc from 'fast-check';
import t from 'tap';
import {
  CHAT_CALL,
  waitForCallerError,
  CHAT_PATH,
  sendThenClose,
  STREAM_EVENTS,
  STREAM_HEADERS,
  readAll,
  handleResume,
  startHosts,
  STREAM_BODY,
} from '../../test/support/caller_hosts.js';
import { FakeEntryHost, sendJson, sendRefusal } from '../../test/support/fake_entry_host.js';
import type { FakeHandler } from '../../test/support/fake_entry_host.js';
import { RunOutcome } from '../domain/errors/mod.js';
import { CallerClient } from './caller_client.js';
import { LocalErrorCode } from './caller_error.js';

t.test('CallerClient sends a call under the request ID that it was assigned', async (t) => {
  const { owner, client } = await startHosts(t, {
    owner: (request, response) => response.writeHead(200, STREAM_HEADERS).end(STREAM_BODY),
    other: (request, response) => response.destroy(),
  });
  const reply = await client.send({
    ...CHAT_CALL,
    workKind: 'report',
    deadlineMs: 5000,
    idempotencyKey: 'key-1',
    headers: { 'x-team': 'a' },
  });
  t.strictSame(await readAll(reply), STREAM_BODY);
  t.match(reply, { requestId: 'request-1', status: 200, resumes: 0 });
  t.match(owner.listReceived('POST', '/v1/requests'), [
    { headers: { 'idempotency-key': 'key-1' } },
  ]);
  t.match(owner.listReceived('POST', CHAT_PATH), [
    {
      body: CHAT_CALL.body,
      headers: {
        authorization: 'Bearer secret-key',
        'request-id': 'request-1',
        'work-kind': 'report',
        'request-deadline-ms': '5000',
        'x-team': 'a',
      },
    },
  ]);
});

t.test('CallerClient resumes an answer that is cut at any byte', async (t) => {
  // Guards against a truncated answer and against repeated bytes. The entry host dies at any byte
  // and the caller resumes at its offset through another one. An offset that counts bytes not
  // passed on to the caller would cause a gap.
  let cutAt = 0;
  const { other, client } = await startHosts(t, {
    owner: (request, response) => sendThenClose(response, STREAM_BODY.subarray(0, cutAt)),
    other: (request, response) =>
      request.method === 'GET'
        ? handleResume(request, response)
        : sendThenClose(response, STREAM_BODY.subarray(0, cutAt)),
  });
  await fc.assert(
    fc.asyncProperty(fc.integer({ min: 1, max: STREAM_BODY.length - 1 }), async (at) => {
      cutAt = at;
      return STREAM_BODY.equals(await readAll(await client.send(CHAT_CALL)));
    }),
    { seed: 42, numRuns: 25 },
  );
  const resumed = other.received.filter(({ method }) => method === 'GET');
  t.ok(resumed.length > 0);
  resumed.forEach(({ query }) => {
    t.equal(query.get('backendServer'), 'engine-1');
    t.equal(query.get('streamId'), 'stream-7');
  });
});

t.test('CallerClient leaves an error event out of the answer and resumes', async (t) => {
  // Guards against missing bytes in an answer. The forwarding entry host loses the owner and ends
  // the stream with an error event, which is not part of the answer.
  const error = { message: 'x', code: 'owner_gone', run: 'may_have_run', retryAfterMs: 0 };
  const { client } = await startHosts(t, {
    owner: (request, response) => {
      response.writeHead(200, STREAM_HEADERS);
      response.end(`${STREAM_EVENTS[0]}${STREAM_EVENTS[1]}data: ${JSON.stringify({ error })}\n\n`);
    },
    other: handleResume,
  });
  const reply = await client.send(CHAT_CALL);
  t.strictSame(await readAll(reply), STREAM_BODY);
  t.equal(reply.resumes, 1);
});

t.test('CallerClient reports an answer that can no longer be resumed', async (t) => {
  const error = { message: 'cut', code: 'answer_cut', run: 'ran', retryAfterMs: 0 };
  const event = `data: ${JSON.stringify({ error })}\n\n`;
  const cases: readonly (readonly [FakeHandler, FakeHandler, string])[] = [
    [
      (request, response) => response.writeHead(200, STREAM_HEADERS).end(event),
      handleResume,
      'answer_cut',
    ],
    [
      (request, response) => sendThenClose(response, STREAM_BODY.subarray(0, 30)),
      (request, response) =>
        sendRefusal(response, 410, { code: 'answer_no_longer_kept', run: 'ran' }),
      'answer_no_longer_kept',
    ],
    [
      (request, response) =>
        request.method === 'POST'
          ? sendThenClose(response, STREAM_BODY.subarray(0, 30))
          : sendRefusal(response, 502, { code: 'owner_gone', run: 'may_have_run' }),
      (request, response) =>
        sendRefusal(response, 502, { code: 'owner_gone', run: 'may_have_run' }),
      LocalErrorCode.AnswerLost,
    ],
  ];
  for (const [owner, other, code] of cases) {
    const { client } = await startHosts(t, { owner, other });
    const reply = await client.send(CHAT_CALL);
    t.match(await waitForCallerError(readAll(reply)), { code, run: RunOutcome.Ran });
  }
});

t.test('CallerClient sends the same call under the same ID when a connection breaks', async (t) => {
  // Guards against a call that runs twice. The connection breaks after the body was sent and
  // before the head arrived; a call repeated under a new ID would run a second time.
  const { owner, other, client } = await startHosts(t, {
    owner: (request, response) => response.destroy(),
    other: (request, response) => response.writeHead(200, STREAM_HEADERS).end(STREAM_BODY),
  });
  t.strictSame(await readAll(await client.send(CHAT_CALL)), STREAM_BODY);
  const calls = [
    ...owner.listReceived('POST', CHAT_PATH),
    ...other.listReceived('POST', CHAT_PATH),
  ];
  t.strictSame(
    calls.map(({ headers, body }) => [headers['request-id'], body]),
    [
      ['request-1', CHAT_CALL.body],
      ['request-1', CHAT_CALL.body],
    ],
  );
});

t.test('CallerClient requests a new ID when nothing was sent', async (t) => {
  // The owner dies between the assignment of the ID and the call. Nothing was sent, so the ID may
  // be replaced without the risk that the call runs twice.
  const hosts = await startHosts(t, {
    owner: (request, response) => response.destroy(),
    other: (request, response) => response.writeHead(200, STREAM_HEADERS).end(STREAM_BODY),
  });
  const { owner, other } = hosts;
  const closed = await FakeEntryHost.start();
  const deadUrl = closed.url;
  await closed.close();
  const { handle } = owner;
  let isFirst = true;
  owner.handle = (request, response) => {
    if (!isFirst || request.path !== '/v1/requests') {
      handle(request, response);
      return;
    }
    isFirst = false;
    const entryHost = { id: 'dead', url: deadUrl };
    const entryHosts = [{ id: 'other', url: other.url }];
    sendJson(response, 200, { id: 'lost-id', entryHost, entryHosts, keepMs: 30_000 });
  };
  const reply = await hosts.client.send(CHAT_CALL);
  t.strictSame(await readAll(reply), STREAM_BODY);
  t.equal(reply.requestId, 'request-1');
  t.match(other.listReceived('POST', CHAT_PATH), [{ headers: { 'request-id': 'request-1' } }]);
});

t.test('CallerClient reports "not run" only when it is certain', async (t) => {
  // Guards against a call that runs twice. The first connection breaks after the body was sent; a
  // second entry host that is stopping refuses the copy with "not run", which is true only of the
  // copy.
  const refuse =
    (code: string, run = 'not_run'): FakeHandler =>
    (request, response) =>
      sendRefusal(response, 503, { code, run, retryAfterMs: 1500 });
  const cut: FakeHandler = (request, response) => response.destroy();
  const cases: readonly (readonly [FakeHandler, FakeHandler, string, RunOutcome])[] = [
    [refuse('tier_closed'), cut, 'tier_closed', RunOutcome.NotRun],
    [cut, refuse('tier_closed'), 'tier_closed', RunOutcome.NotRun],
    [cut, refuse('unauthenticated'), 'unauthenticated', RunOutcome.MayHaveRun],
    [refuse('entry_host_stopping'), refuse('queue_full'), 'queue_full', RunOutcome.NotRun],
    [refuse('body_too_large', 'may_have_run'), cut, 'body_too_large', RunOutcome.NotRun],
    [cut, refuse('body_too_large', 'may_have_run'), 'body_too_large', RunOutcome.MayHaveRun],
    [refuse('owner_gone', 'may_have_run'), cut, 'owner_gone', RunOutcome.MayHaveRun],
    [cut, cut, LocalErrorCode.ConnectionLost, RunOutcome.MayHaveRun],
  ];
  for (const [owner, other, code, run] of cases) {
    const { client } = await startHosts(t, { owner, other });
    const error = await waitForCallerError(client.send(CHAT_CALL));
    t.match(error, { code, run, requestId: 'request-1' });
    if (code === 'tier_closed') t.equal(error.retryAfterMs, 1500);
  }
});

t.test('CallerClient abandons a connection that has gone silent', async (t) => {
  // Guards against a caller that waits forever. A device between the two ends has dropped the
  // connection while new connections work. The request's state, read over another connection,
  // shows that there is an answer.
  const report = { state: 'answered', answerBytes: STREAM_BODY.length };
  const { other, client } = await startHosts(
    t,
    {
      owner: (request, response) => {
        if (request.method === 'GET') sendJson(response, 200, report);
      },
      other: (request, response) => response.writeHead(200, STREAM_HEADERS).end(STREAM_BODY),
    },
    20,
  );
  t.strictSame(await readAll(await client.send(CHAT_CALL)), STREAM_BODY);
  t.match(other.listReceived('POST', CHAT_PATH), [{ headers: { 'request-id': 'request-1' } }]);
});

t.test('CallerClient keeps waiting while its request is queued', async (t) => {
  let questions = 0;
  let answer: ServerResponse | undefined;
  const { owner, client } = await startHosts(
    t,
    {
      owner: (request, response) => {
        if (request.method === 'POST') {
          answer = response;
          return;
        }
        questions += 1;
        sendJson(response, 200, { state: 'queued', answerBytes: 0 });
        if (questions === 2) answer?.writeHead(200, STREAM_HEADERS).end(STREAM_BODY);
      },
      other: (request, response) => response.destroy(),
    },
    20,
  );
  t.strictSame(await readAll(await client.send(CHAT_CALL)), STREAM_BODY);
  t.equal(owner.listReceived('POST', CHAT_PATH).length, 1);
});

t.test("CallerClient returns a backend server's own error as an answer", async (t) => {
  const { client } = await startHosts(t, {
    owner: (request, response) => sendJson(response, 404, { error: { message: 'no such case' } }),
    other: (request, response) => response.destroy(),
  });
  const reply = await client.send({ method: 'GET', path: '/v1/services/case-app/status/7' });
  t.equal(reply.status, 404);
  t.match(JSON.parse((await readAll(reply)).toString()), { error: { message: 'no such case' } });
});

t.test('CallerClient ends a call when its signal is aborted or it is cancelled', async (t) => {
  const { owner, client } = await startHosts(t, {
    owner: (request, response) => response.writeHead(200, STREAM_HEADERS).write(STREAM_EVENTS[0]),
    other: handleResume,
  });
  const abort = new AbortController();
  const reply = await client.send({ ...CHAT_CALL, signal: abort.signal });
  const body = reply.body[Symbol.asyncIterator]();
  t.equal(Buffer.from((await body.next()).value as Uint8Array).toString(), STREAM_EVENTS[0]);
  abort.abort();
  await t.rejects(body.next(), { name: 'AbortError' });
  owner.handle = (request, response) => sendJson(response, 200, {});
  await client.cancel(reply.requestId);
  t.equal(owner.listReceived('DELETE', '/v1/requests/request-1').length, 1);
});

t.test('CallerClient reports that no entry host is reachable', async (t) => {
  const closed = await FakeEntryHost.start();
  const client = new CallerClient({ urls: [closed.url], apiKey: 'k' });
  await closed.close();
  t.match(await waitForCallerError(client.send(CHAT_CALL)), {
    code: LocalErrorCode.Unreachable,
    run: RunOutcome.NotRun,
  });
});
