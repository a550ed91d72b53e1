import t from 'tap';
import { ERROR_TABLE, ErrorKind, RunOutcome, SchedulerError } from '../../domain/errors/mod.js';
import {
  buildAnswer,
  CHAT_BODY,
  formatChat,
  formatRequest,
  sendRaw,
  startFixture,
} from './_test_fixture.js';

/** The timeouts are so long that no request of these tests ends by one of them. */
const LIMITS = {
  maxBodyBytes: 200,
  maxHeaderBytes: 1024,
  maxUnauthenticatedBodyBytes: 100,
  headerTimeoutMs: 600_000,
  requestTimeoutMs: 600_000,
};
const CHAT = 'POST /v1/chat/completions';

interface ErrorCase {
  readonly name: string;
  readonly text: string;
  readonly kind: ErrorKind;
  /** Run outcome in the answer; default: the run outcome of the error table. */
  readonly run?: RunOutcome;
  /** Error that the gateway throws. */
  readonly thrown?: Error;
  /** Patterns that the raw answer must match as well. */
  readonly has?: readonly RegExp[];
}

const ERROR_CASES: readonly ErrorCase[] = [
  {
    name: 'no key',
    text: formatRequest(CHAT, { authorization: '' }, CHAT_BODY),
    kind: ErrorKind.Unauthenticated,
    has: [/^www-authenticate: Bearer\r$/m],
  },
  {
    name: 'wrong key and Expect: 100-continue',
    text: formatRequest(CHAT, {
      authorization: 'Bearer wrong',
      expect: '100-continue',
      'content-length': '50',
      connection: '',
    }),
    kind: ErrorKind.Unauthenticated,
    has: [/^HTTP\/1.1 401/, /^connection: close\r$/m],
  },
  {
    name: 'wrong key and an endless body',
    text: `${formatRequest(CHAT, { authorization: 'Bearer wrong', 'content-length': '99999', connection: '' })}${'x'.repeat(5000)}`,
    kind: ErrorKind.Unauthenticated,
  },
  {
    name: 'key of another authentication scheme',
    text: formatRequest('GET /v1/models', { authorization: 'Basic a2V5LWE=' }),
    kind: ErrorKind.Unauthenticated,
  },
  { name: 'unknown path', text: formatRequest('GET /v2'), kind: ErrorKind.NotFound },
  {
    name: 'wrong method',
    text: formatRequest('PUT /v1/requests/id-1'),
    kind: ErrorKind.MethodNotAllowed,
    run: RunOutcome.MayHaveRun,
    has: [/^allow: GET, DELETE\r$/m],
  },
  {
    name: 'CONNECT',
    text: 'CONNECT a:1 HTTP/1.1\r\nhost: a:1\r\n\r\n',
    kind: ErrorKind.MethodNotAllowed,
  },
  {
    name: 'invalid JSON',
    text: formatRequest(CHAT, {}, '{"model":'),
    kind: ErrorKind.MalformedRequest,
  },
  {
    name: 'invalid UTF-8',
    text: formatRequest(CHAT, {}, '"\xff"'),
    kind: ErrorKind.MalformedRequest,
  },
  {
    name: 'no messages',
    text: formatRequest(CHAT, {}, '{"model":"monsoon-draft"}'),
    kind: ErrorKind.MalformedRequest,
    has: [/chat completion: messages: /],
  },
  {
    name: 'unknown model',
    text: formatRequest(CHAT, {}, '{"model":"other","messages":[]}'),
    kind: ErrorKind.UnknownModel,
  },
  {
    name: 'Content-Length over the body limit',
    text: formatRequest(CHAT, { 'content-length': '201', expect: '100-continue' }),
    kind: ErrorKind.BodyTooLarge,
    has: [/^HTTP\/1.1 413/],
  },
  {
    name: 'chunked body over the body limit',
    text: `${formatRequest(CHAT, { 'content-length': '', 'transfer-encoding': 'chunked' })}ff\r\n${'x'.repeat(255)}\r\n0\r\n\r\n`,
    kind: ErrorKind.BodyTooLarge,
  },
  {
    name: 'invalid chunk',
    text: `${formatRequest(CHAT, { 'content-length': '', 'transfer-encoding': 'chunked' })}zz\r\n`,
    kind: ErrorKind.MalformedRequest,
  },
  {
    name: 'both Content-Length and Transfer-Encoding',
    text: formatRequest(CHAT, { 'transfer-encoding': 'chunked' }, CHAT_BODY),
    kind: ErrorKind.MalformedRequest,
  },
  {
    name: 'header over the header limit',
    text: formatRequest('GET /v1/models', { 'x-long': 'x'.repeat(5000) }),
    kind: ErrorKind.HeaderTooLarge,
  },
  {
    name: 'no Host header',
    text: formatRequest('GET /v1/models', { host: '' }),
    kind: ErrorKind.MalformedRequest,
  },
  {
    name: 'unknown expectation',
    text: formatRequest('GET /v1/models', { expect: 'wonders' }),
    kind: ErrorKind.MalformedRequest,
  },
  {
    name: 'bytes that are not HTTP',
    text: '\x16\x03\x01\x02\r\n\r\n',
    kind: ErrorKind.MalformedRequest,
  },
  {
    name: 'path that escapes its service',
    text: formatRequest('GET /v1/services/case-app/status/%2e%2E%2fadmin'),
    kind: ErrorKind.MalformedRequest,
  },
  {
    name: 'deadline that is not an integer',
    text: formatChat({ 'request-deadline-ms': '1e3' }),
    kind: ErrorKind.MalformedRequest,
  },
  {
    name: 'negative offset',
    text: formatRequest('GET /v1/requests/id-1?offset=-1'),
    kind: ErrorKind.MalformedRequest,
    run: RunOutcome.MayHaveRun,
  },
  {
    name: 'request ID with a line feed',
    text: formatRequest('GET /v1/requests/a%0Ab'),
    kind: ErrorKind.RequestIdInvalid,
  },
  {
    name: 'expired request ID',
    text: formatRequest('GET /v1/requests/gone'),
    kind: ErrorKind.RequestIdExpired,
    has: [/^x-should-retry: false\r$/m],
  },
  {
    name: 'work kind that requires a request ID',
    text: formatChat(),
    kind: ErrorKind.RequestIdRequired,
    thrown: new SchedulerError(ErrorKind.RequestIdRequired, { requestId: 'fresh' }),
    has: [/^request-id: fresh\r$/m],
  },
  {
    name: 'refusal with a retry-after time',
    text: formatChat({ 'request-id': 'id-7' }),
    kind: ErrorKind.TierClosed,
    thrown: new SchedulerError(ErrorKind.TierClosed, { retryAfterMs: 1200.5 }),
    has: [/^retry-after: 2\r$/m, /^retry-after-ms: 1201\r$/m, /^request-id: id-7\r$/m],
  },
  {
    name: 'internal error, whose message is not disclosed',
    text: formatChat(),
    kind: ErrorKind.Internal,
    thrown: new TypeError('secret'),
    has: [/^(?![^]*secret)/],
  },
];

t.test('CallersListener answers every error as the error table defines it', async (t) => {
  const { port, gateway, log } = await startFixture(t, LIMITS);
  for (const { name, text, kind, run, thrown, has = [] } of ERROR_CASES) {
    gateway.answer = async () => {
      if (thrown) throw thrown;
      return buildAnswer(['{}']);
    };
    const answer = await sendRaw(port, text);
    const { error } = JSON.parse(answer.slice(answer.indexOf('\r\n\r\n')));
    t.match(answer, new RegExp(`^HTTP/1.1 ${ERROR_TABLE[kind].status} `), `${name}: status`);
    const expected = ERROR_TABLE[kind];
    t.match(error, { code: kind, type: expected.type, run: run ?? expected.run }, name);
    has.forEach((pattern) => t.match(answer, pattern, name));
    t.match(log.lines.at(-1), { event: 'request_refused', fields: { kind } }, `${name}: logged`);
  }
  gateway.answer = async () => buildAnswer(['{}']);
  t.match(
    await sendRaw(port, formatChat()),
    /^HTTP\/1.1 200 /,
    'a valid request is served afterwards',
  );
  t.notMatch(JSON.stringify(log.lines), /key-a/, 'no key is logged');
});

t.test('CallersListener forwards a chat completion unchanged', async (t) => {
  const { port, gateway } = await startFixture(t);
  const answer = await sendRaw(
    port,
    formatChat({ 'work-kind': 'summary', 'request-deadline-ms': '70' }),
  );
  t.match(gateway.calls[0], { serviceId: 'monsoon-llm', workKind: 'summary', deadlineMs: 70 });
  t.equal(Buffer.from(gateway.calls[0]?.body ?? []).toString(), CHAT_BODY);
  t.match(answer, /^request-id: id-1\r$/m);
  t.match(answer, /^stream-id: s-1\r$/m);
  t.notMatch(
    answer,
    /x-hop|content-length/,
    'hop-by-hop headers and Content-Length are not forwarded',
  );
});

t.test('CallersListener forwards a service call without keys and system headers', async (t) => {
  const { port, gateway } = await startFixture(t);
  const own = {
    'request-id': 'id-1',
    'client-account': 'forged',
    traceparent: 'no',
    te: 'trailers',
  };
  const line = 'PATCH /v1/services/case-app/status%20a//b?c=%2F&c';
  await sendRaw(port, formatRequest(line, { ...own, cookie: 'kept', 'x-own': 'kept' }, 'body'));
  const call = gateway.calls[0];
  t.match(call, { serviceId: 'case-app', method: 'PATCH', requestId: 'id-1' });
  t.equal(call?.path, '/status%20a//b?c=%2F&c');
  t.same(call?.headers, { cookie: 'kept', 'x-own': 'kept' });
  t.equal(Buffer.from(call?.body ?? []).toString(), 'body');
  t.match(call?.traceparent, /^00-/, 'a malformed traceparent is replaced');
});

t.test('CallersListener serves request IDs, states, and answers from an offset', async (t) => {
  const { port, gateway } = await startFixture(t);
  t.match(
    await sendRaw(port, formatRequest('POST /v1/requests', { 'idempotency-key': 'k' })),
    /200 OK[^]*"id":"id-k".*"keepMs":1/,
  );
  t.match(await sendRaw(port, formatRequest('GET /v1/requests/id-1')), /"state":"queued"/);
  t.match(await sendRaw(port, formatRequest('DELETE /v1/requests/id-1')), /"state":"refused"/);
  const target = '/v1/requests/id-1?offset=5&backendServer=engine-1&streamId=s-1';
  t.match(await sendRaw(port, formatRequest(`GET ${target}`)), /"ok":true/);
  t.match(gateway.reads, [{ offset: 5, backendServer: 'engine-1', streamId: 's-1' }]);
  t.match(await sendRaw(port, formatRequest('GET /v1/health', { authorization: '' })), /200 OK/);
});

t.test(
  'CallersListener sends 100 Continue once the key is checked, then reads the body',
  async (t) => {
    const { port } = await startFixture(t);
    const answer = await sendRaw(port, formatChat({ expect: '100-continue' }));
    t.match(answer, /^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 OK/);
  },
);

t.test(
  'CallersListener never answers "not run" when another copy of the request may run',
  async (t) => {
    // Guards against work that is done twice: a caller sends a second copy of a request while
    // the first runs, the copy is refused with "not run", and the caller sends the work again
    // under a new ID. The refusal took only its own copy into account.
    const limits = { maxBodyBytes: 200, requestTimeoutMs: 300, headerTimeoutMs: 200 };
    const { port } = await startFixture(t, limits);
    const own = { 'request-id': 'id-1' };
    const copies = [
      formatChat({ ...own, authorization: '' }),
      formatChat({ ...own, 'content-length': '201' }),
      formatChat({ ...own, 'request-deadline-ms': 'x' }),
      formatChat({ ...own, host: '' }),
      formatRequest(CHAT, own, '{'),
      formatRequest(CHAT, { ...own, 'content-length': '9' }),
      formatRequest('GET /v1/requests/id-1', { authorization: '' }),
    ];
    for (const copy of copies) {
      const answer = await sendRaw(port, copy);
      t.match(answer, /^HTTP\/1.1 4[^]*"run":"may_have_run"/, copy);
      t.match(answer, /^request-id: id-1\r$/m);
    }
  },
);
