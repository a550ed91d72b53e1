import t from 'tap';
import type { Test } from 'tap';
import { buildAnswerText, computeBlockHashes, ModelEngine } from './mod.js';
import type { ModelEngineOptions, RunRecord } from './mod.js';
import {
  createSingleConnection,
  openCall,
  readResponse,
  sendCall,
  sendJsonCall,
  setFault,
  waitForHead,
} from './_test_client.js';

const OPTIONS: ModelEngineOptions = {
  id: 'engine-1',
  service: 'monsoon-llm',
  models: ['monsoon-draft'],
  honoursContinue: true,
  prefillTokensPerSecond: 1_000_000,
  decodeTokensPerSecond: 2000,
  maxBatch: 4,
  maxWaiting: 8,
  cacheBlocks: 16,
  loadLagMs: 0,
  cacheEventLagMs: 0,
  timeScale: 1,
};

const HOUR_MS = 3_600_000;

async function startEngine(t: Test, options: Partial<ModelEngineOptions> = {}): Promise<string> {
  const engine = new ModelEngine({ ...OPTIONS, ...options });
  t.teardown(() => engine.close());
  return engine.open({ host: '127.0.0.1', port: 0 });
}

function buildBody(text: string, tokens: number, stream = true): string {
  const messages = [{ role: 'user', content: text }];
  return JSON.stringify({ model: 'monsoon-draft', messages, stream, max_tokens: tokens });
}

function readRuns(url: string): Promise<RunRecord[]> {
  return sendJsonCall(`${url}/_standin/runs`);
}

function readText(body: string): string {
  return body
    .split('\n\n')
    .filter((event) => event.startsWith('data: {'))
    .map((event) => JSON.parse(event.slice(6)).choices[0].delta.content ?? '')
    .join('');
}

t.test('ModelEngine starts a run only when the body arrives after 100 Continue', async (t) => {
  const url = await startEngine(t);
  const call = openCall(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { expect: '100-continue', 'request-id': 'r1', 'client-account': 'firm-a' },
  });
  await new Promise((resolve) => {
    call.once('continue', resolve);
  });
  t.same(await readRuns(url), []);
  call.end(buildBody('hello', 3));
  const answer = await readResponse(await waitForHead(call));
  t.equal(readText(answer.body), buildAnswerText('hello', 3));
  const [run] = await readRuns(url);
  t.match(run, { requestId: 'r1', account: 'firm-a', cancelled: false, outputTokens: 3 });
  t.type(run?.finished, 'number');
});

t.test(
  'ModelEngine refuses a call instead of sending 100 Continue, and runs nothing',
  async (t) => {
    const url = await startEngine(t);
    await setFault(url, { kind: 'refuse' });
    const call = openCall(`${url}/v1/chat/completions`, {
      method: 'POST',
      headers: { expect: '100-continue' },
    });
    call.once('continue', () => t.fail('100 came before a refusal'));
    const answer = await readResponse(await waitForHead(call));
    t.equal(answer.status, 503);
    t.equal(answer.headers['run-outcome'], 'not_run');
    t.same(await readRuns(url), []);
  },
);

t.test('ModelEngine refuses calls when its queue is full', async (t) => {
  const url = await startEngine(t, { maxBatch: 1, maxWaiting: 1, decodeTokensPerSecond: 0.1 });
  const send = () =>
    openCall(`${url}/v1/chat/completions`, { method: 'POST' }).end(buildBody('x', 9));
  await waitForHead(send());
  await waitForHead(send());
  const answer = await readResponse(await waitForHead(send()));
  t.equal(answer.status, 503);
  t.equal((await readRuns(url)).length, 2);
  t.match(await sendJsonCall(`${url}/v1/load`), { running: 1, waiting: 1, leaving: false });
});

// Checks the simulation of a dead connection: a network device loses the state of an idle
// keep-alive connection, and neither end is told. The next call on the connection is never
// answered, while a call on a new connection is.
t.test('ModelEngine runs nothing on a silenced connection and serves a new one', async (t) => {
  const url = await startEngine(t);
  const agent = createSingleConnection();
  t.teardown(() => agent.destroy());
  const path = `${url}/v1/chat/completions`;
  await sendCall(path, { method: 'POST', body: buildBody('one', 1), agent });
  await setFault(url, { kind: 'silent', oldConnectionsOnly: true });
  const silent = openCall(path, { method: 'POST', agent });
  silent.once('response', () => t.fail('a silent connection answered'));
  silent.end(buildBody('two', 1));
  const answer = await sendCall(path, { method: 'POST', body: buildBody('three', 1) });
  t.equal(readText(answer.body), buildAnswerText('three', 1));
  t.equal((await readRuns(url)).length, 2);
});

// Checks the simulation of an engine crash: the response breaks off after some bytes, the
// engine loses its streams, and the run, which had started, never finishes.
t.test('ModelEngine cuts a response at the given byte and leaves the run unfinished', async (t) => {
  const url = await startEngine(t);
  await setFault(url, { kind: 'die-midway', factor: 300 });
  const answer = await sendCall(`${url}/v1/chat/completions`, {
    method: 'POST',
    body: buildBody('hello', 20),
  });
  t.equal(answer.isBroken, true);
  t.equal(answer.body.length, 300);
  t.match(await readRuns(url), [{ finished: null, cancelled: false }]);
  const streamId = String(answer.headers['stream-id']);
  t.equal((await sendCall(`${url}/v1/streams/${streamId}`)).status, 404);
});

t.test('ModelEngine continues after its client disconnects and resumes at an offset', async (t) => {
  const url = await startEngine(t);
  const call = openCall(`${url}/v1/chat/completions`, { method: 'POST' });
  call.end(buildBody('hello', 50));
  const head = await waitForHead(call);
  const streamId = String(head.headers['stream-id']);
  const first = await new Promise<Buffer>((resolve) => {
    head.once('data', resolve);
  });
  head.on('error', () => undefined);
  head.destroy();
  const offset = first.length;
  const rest = await sendCall(`${url}/v1/streams/${streamId}?offset=${offset}`);
  t.equal(readText(first.toString() + rest.body), buildAnswerText('hello', 50));
  const whole = await sendCall(`${url}/v1/streams/${streamId}?offset=0`);
  t.equal(whole.body, first.toString() + rest.body);
  t.equal((await readRuns(url)).length, 1);
});

t.test('ModelEngine cancels a stream and breaks the connection of its reader', async (t) => {
  const url = await startEngine(t, { decodeTokensPerSecond: 20 });
  const call = openCall(`${url}/v1/chat/completions`, { method: 'POST' });
  call.end(buildBody('hello', 8000));
  const head = await waitForHead(call);
  const answer = readResponse(head);
  const path = `${url}/v1/streams/${String(head.headers['stream-id'])}`;
  t.same(await sendJsonCall(path, { method: 'DELETE' }), { cancelled: true });
  t.equal((await answer).isBroken, true);
  t.match(await readRuns(url), [{ cancelled: true, finished: null }]);
  t.equal((await sendCall(path, { method: 'DELETE' })).status, 404);
});

t.test('ModelEngine finds a prefix in its cache and publishes events with gaps', async (t) => {
  const url = await startEngine(t);
  const prefix = 'p'.repeat(256 * 12);
  const send = (text: string) =>
    sendCall(`${url}/v1/chat/completions`, { method: 'POST', body: buildBody(text, 1) });
  await send(prefix);
  await send(`${prefix}more`);
  const [first, second] = await readRuns(url);
  t.match(first, { prefillTokens: 768, cachedTokens: 0 });
  t.match(second, { prefillTokens: 1, cachedTokens: 768 });
  const { events } = await sendJsonCall<{ events: { sequence: number; blockHash: string }[] }>(
    `${url}/v1/cache-events?after=2`,
  );
  t.same(
    events.map((event) => event.sequence),
    [3, 4, 5, 6, 8, 9, 10, 11, 12],
  );
  t.equal(events[0]?.blockHash, computeBlockHashes(prefix)[2]);
});

t.test('ModelEngine evicts the least recently used blocks', async (t) => {
  const url = await startEngine(t, { cacheBlocks: 2 });
  const send = (sign: string) =>
    sendCall(`${url}/v1/chat/completions`, {
      method: 'POST',
      body: buildBody(sign.repeat(256), 1),
    });
  await send('a');
  await send('b');
  await send('a');
  await send('c');
  await send('b');
  const runs = await readRuns(url);
  t.same(
    runs.map((run) => run.cachedTokens),
    [0, 0, 63, 0, 0],
  );
});

t.test('ModelEngine publishes cache events with a delay', async (t) => {
  const url = await startEngine(t, { cacheEventLagMs: HOUR_MS });
  const body = buildBody('x'.repeat(512), 1);
  await sendCall(`${url}/v1/chat/completions`, { method: 'POST', body });
  t.same(await sendJsonCall(`${url}/v1/cache-events?after=0`), { events: [] });
});

t.test('ModelEngine reports load with a lag', async (t) => {
  const url = await startEngine(t, { loadLagMs: HOUR_MS, decodeTokensPerSecond: 1 });
  const call = openCall(`${url}/v1/chat/completions`, { method: 'POST' });
  call.end(buildBody('hello', 100));
  await waitForHead(call);
  t.match(await sendJsonCall(`${url}/v1/load`), { running: 0, waiting: 0 });
});

t.test('ModelEngine answers an unstreamed call with one document and its usage', async (t) => {
  const url = await startEngine(t);
  const body = buildBody('hello', 4, false);
  const answer = await sendJsonCall(`${url}/v1/chat/completions`, { method: 'POST', body });
  t.match(answer, {
    object: 'chat.completion',
    choices: [{ message: { content: buildAnswerText('hello', 4) }, finish_reason: 'stop' }],
    usage: { prompt_tokens: 2, completion_tokens: 4, total_tokens: 6 },
  });
  t.match(await sendJsonCall(`${url}/v1/models`), { data: [{ id: 'monsoon-draft' }] });
});

t.test('ModelEngine answers 400 to a body that is not JSON', async (t) => {
  const url = await startEngine(t);
  const answer = await sendCall(`${url}/v1/chat/completions`, { method: 'POST', body: '{' });
  t.equal(answer.status, 400);
  t.equal((await readRuns(url)).length, 1);
});

t.test('ModelEngine leaves the run of a cut unstreamed response unfinished', async (t) => {
  const url = await startEngine(t);
  await setFault(url, { kind: 'die-midway', factor: 20 });
  const body = buildBody('hello', 4, false);
  const answer = await sendCall(`${url}/v1/chat/completions`, { method: 'POST', body });
  t.equal(answer.isBroken, true);
  t.match(await readRuns(url), [{ finished: null, outputTokens: 4 }]);
  const streamId = String(answer.headers['stream-id']);
  t.equal((await sendCall(`${url}/v1/streams/${streamId}`)).status, 404);
});
