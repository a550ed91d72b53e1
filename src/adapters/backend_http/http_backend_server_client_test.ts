/**
 * Tests the client against the stand-in engine: the effect of each fault on a call, and
 * whether the stage that the client reports agrees with the runs that the engine recorded.
 *
 * @module
 */
import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import t from 'tap';
import type { Test } from 'tap';
import { FaultKind, ModelEngine } from '../../../standin/mod.js';
import type { FaultOrder } from '../../../standin/mod.js';
import { BackendCallError, BackendCallStage } from '../../ports/mod.js';
import type { BackendAnswer, BackendCall } from '../../ports/mod.js';
import { HttpBackendServerClient } from './mod.js';

const CONTINUE_TIMEOUT_MS = 60;

/** A stand-in engine and a client that calls it. */
class EngineFixture {
  readonly client = new HttpBackendServerClient({ connectTimeoutMs: 500, idleTimeoutMs: 300 });

  handOverCount = 0;

  private constructor(
    readonly engine: ModelEngine,
    readonly url: string,
  ) {}

  static async start(t: Test, honoursContinue = true): Promise<EngineFixture> {
    const engine = new ModelEngine({
      id: 'engine-1',
      service: 'monsoon-llm',
      models: ['monsoon-draft'],
      honoursContinue,
      prefillTokensPerSecond: 1_000_000,
      decodeTokensPerSecond: 500,
      maxBatch: 4,
      maxWaiting: 8,
      cacheBlocks: 16,
      loadLagMs: 0,
      cacheEventLagMs: 0,
      timeScale: 1,
    });
    const fixture = new EngineFixture(engine, await engine.open({ host: '127.0.0.1', port: 0 }));
    t.teardown(async () => {
      fixture.client.close();
      await engine.close();
    });
    return fixture;
  }

  async setFault(order: Partial<FaultOrder>): Promise<void> {
    await fetch(`${this.url}/_standin/faults`, { method: 'POST', body: JSON.stringify(order) });
  }

  async countRuns(): Promise<number> {
    const answer = await fetch(`${this.url}/_standin/runs`);
    return ((await answer.json()) as unknown[]).length;
  }

  get server(): BackendCall['backendServer'] {
    return {
      id: 'engine-1',
      serviceId: 'monsoon-llm',
      url: this.url,
      engineKind: 'fast',
      availabilityZone: 'hall-a',
    };
  }

  dispatch(options: Partial<BackendCall> = {}): Promise<BackendAnswer> {
    const messages = [{ role: 'user', content: 'Describe the damp.' }];
    const body = { model: 'monsoon-draft', messages, stream: true, max_tokens: 20 };
    return this.client.dispatch({
      backendServer: this.server,
      method: 'POST',
      path: '/v1/chat/completions',
      headers: { 'content-type': 'application/json', 'request-id': 'request-1' },
      body: Buffer.from(JSON.stringify(body)),
      honoursContinue: true,
      continueTimeoutMs: CONTINUE_TIMEOUT_MS,
      mayHandOver: () => true,
      onHandOver: () => {
        this.handOverCount += 1;
      },
      signal: new AbortController().signal,
      ...options,
    });
  }

  /** Dispatches a call; returns the text of its answer, or the stage at which it failed. */
  async run(options: Partial<BackendCall> = {}): Promise<BackendCallStage | string> {
    try {
      const answer = await this.dispatch(options);
      return await readText(answer);
    } catch (error) {
      if (!(error instanceof BackendCallError)) throw error;
      return error.stage;
    }
  }
}

async function readText(answer: BackendAnswer): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const bytes of answer.body) chunks.push(bytes);
  return Buffer.concat(chunks).toString();
}

interface FaultCase {
  readonly name: string;
  readonly order: Partial<FaultOrder>;
  readonly stage: BackendCallStage;
  readonly runCount: number;
}

const FAULT_CASES: readonly FaultCase[] = [
  {
    name: 'an engine that refuses before the body is sent',
    order: { kind: FaultKind.Refuse },
    stage: BackendCallStage.BeforeHandOver,
    runCount: 0,
  },
  {
    name: 'an engine that never responds on any connection',
    order: { kind: FaultKind.Silent },
    stage: BackendCallStage.BeforeHandOver,
    runCount: 0,
  },
  {
    name: 'an engine that never sends 100 Continue',
    order: { kind: FaultKind.NoContinue },
    stage: BackendCallStage.BeforeHandOver,
    runCount: 0,
  },
  {
    name: 'an engine that crashes within its answer',
    order: { kind: FaultKind.DieMidway, factor: 200 },
    stage: BackendCallStage.Answering,
    runCount: 1,
  },
];

FAULT_CASES.forEach(({ name, order, stage, runCount }) => {
  t.test(`dispatch() reports the right stage for ${name}`, async (t) => {
    const fixture = await EngineFixture.start(t);
    await fixture.setFault(order);
    t.equal(await fixture.run(), stage);
    t.equal(await fixture.countRuns(), runCount);
    t.equal(fixture.handOverCount, runCount);
  });
});

t.test('dispatch() reports the right stage for an engine that is down', async (t) => {
  const fixture = await EngineFixture.start(t);
  await fixture.engine.close();
  t.equal(await fixture.run(), BackendCallStage.BeforeHandOver);
  t.equal(fixture.handOverCount, 0);
});

t.test('dispatch() runs a call once when its reused connection no longer delivers', async (t) => {
  // Guards against a call that runs twice: a network device drops an idle connection without
  // notifying its ends, the next call is sent over it, no reply arrives and the call is sent
  // again. The body was handed over before the connection had proved to be alive.
  const fixture = await EngineFixture.start(t);
  t.match(await fixture.run(), /\[DONE\]/);
  await fixture.setFault({ kind: FaultKind.Silent, oldConnectionsOnly: true });
  t.match(await fixture.run(), /\[DONE\]/, 'the second call uses a new connection');
  t.equal(await fixture.countRuns(), 2);
  t.equal(fixture.handOverCount, 2);
});

t.test('dispatch() hands over nothing once the call is cancelled', async (t) => {
  const fixture = await EngineFixture.start(t);
  t.equal(await fixture.run({ mayHandOver: () => false }), BackendCallStage.BeforeHandOver);
  t.equal(
    await fixture.run({ mayHandOver: () => false, honoursContinue: false }),
    BackendCallStage.BeforeHandOver,
  );
  t.equal(await fixture.countRuns(), 0);
});

t.test('dispatch() works without 100-continue, over a new connection', async (t) => {
  const fixture = await EngineFixture.start(t, false);
  t.match(await fixture.run({ honoursContinue: false }), /\[DONE\]/);
  t.equal(fixture.handOverCount, 1);
});

t.test('dispatch() reports AfterHandOver when it is aborted after the hand-over', async (t) => {
  const fixture = await EngineFixture.start(t);
  await fixture.setFault({ kind: FaultKind.Slow, factor: 1000 });
  const controller = new AbortController();
  const running = fixture.run({
    signal: controller.signal,
    onHandOver: () => setImmediate(() => controller.abort()),
  });
  t.equal(await running, BackendCallStage.AfterHandOver);
});

t.test('resume() returns the rest of a stream without another run', async (t) => {
  const fixture = await EngineFixture.start(t);
  const answer = await fixture.dispatch();
  const whole = await readText(answer);
  const streamId = answer.streamId ?? '';
  const rest = await fixture.client.resume({
    backendServer: fixture.server,
    streamId,
    offset: 100,
    signal: new AbortController().signal,
  });
  t.equal(await readText(rest), whole.slice(100));
  t.equal(await fixture.countRuns(), 1);
});

t.test('resume() finds a stream by the ID of its request', async (t) => {
  // Guards against "may have run" for an answer that the engine is still producing: the
  // connection fails between the hand-over of the body and the response head, and only the
  // head holds the ID of the stream.
  const fixture = await EngineFixture.start(t);
  const whole = await readText(await fixture.dispatch());
  const found = await fixture.client.resume({
    backendServer: fixture.server,
    streamId: 'request-1',
    offset: 0,
    signal: new AbortController().signal,
  });
  t.equal(await readText(found), whole);
});

[true, false].forEach((honoursContinue) => {
  t.test(`dispatch() times out without a response head (100: ${honoursContinue})`, async (t) => {
    const server = createServer();
    const answer = (_request: unknown, response: ServerResponse): void => response.writeContinue();
    server.on('checkContinue', answer);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    t.teardown(() => {
      server.closeAllConnections();
      server.close();
    });
    const fixture = await EngineFixture.start(t);
    const { port } = server.address() as AddressInfo;
    const stage = await fixture.run({
      backendServer: { ...fixture.server, url: `http://127.0.0.1:${port}` },
      headTimeoutMs: CONTINUE_TIMEOUT_MS,
      honoursContinue,
    });
    t.equal(stage, BackendCallStage.AfterHandOver);
    t.equal(fixture.handOverCount, 1);
  });
});

t.test('resume() rejects for an unknown stream', async (t) => {
  const fixture = await EngineFixture.start(t);
  const resumed = fixture.client.resume({
    backendServer: fixture.server,
    streamId: 'unknown',
    offset: 0,
    signal: new AbortController().signal,
  });
  t.match(await resumed.catch((error: unknown) => error), { stage: BackendCallStage.Answering });
});

t.test('readLoad() and readCacheEvents() return what the engine reports', async (t) => {
  const fixture = await EngineFixture.start(t);
  t.same(await fixture.client.readLoad(fixture.server), { running: 0, waiting: 0, leaving: false });
  t.same(await fixture.client.readCacheEvents(fixture.server, 0), []);
});
