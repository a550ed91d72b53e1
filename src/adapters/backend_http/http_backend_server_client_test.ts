/**
 * The last hop against the stand-in engine: what each fault does to a call, and
 * whether what the client says of it is what the engine recorded.
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

/** An engine and a client of it. */
class Hop {
  readonly client = new HttpBackendServerClient({ connectTimeoutMs: 500, idleTimeoutMs: 300 });

  handOvers = 0;

  private constructor(
    readonly engine: ModelEngine,
    readonly url: string,
  ) {}

  static async start(t: Test, honoursContinue = true): Promise<Hop> {
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
    const hop = new Hop(engine, await engine.open({ host: '127.0.0.1', port: 0 }));
    t.teardown(async () => {
      hop.client.close();
      await engine.close();
    });
    return hop;
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
        this.handOvers += 1;
      },
      signal: new AbortController().signal,
      ...options,
    });
  }

  /** Dispatches a call and reads its answer; tells the stage where that failed. */
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
  readonly runs: number;
}

const FAULT_CASES: readonly FaultCase[] = [
  {
    name: 'an engine that refuses before the body',
    order: { kind: FaultKind.Refuse },
    stage: BackendCallStage.BeforeHandOver,
    runs: 0,
  },
  {
    name: 'an engine that is silent on every connection',
    order: { kind: FaultKind.Silent },
    stage: BackendCallStage.BeforeHandOver,
    runs: 0,
  },
  {
    name: 'an engine that never answers 100',
    order: { kind: FaultKind.NoContinue },
    stage: BackendCallStage.BeforeHandOver,
    runs: 0,
  },
  {
    name: 'an engine that dies inside its answer',
    order: { kind: FaultKind.DieMidway, factor: 200 },
    stage: BackendCallStage.Answering,
    runs: 1,
  },
];

FAULT_CASES.forEach(({ name, order, stage, runs }) => {
  t.test(`dispatch() tells the truth about ${name}`, async (t) => {
    const hop = await Hop.start(t);
    await hop.setFault(order);
    t.equal(await hop.run(), stage);
    t.equal(await hop.countRuns(), runs);
    t.equal(hop.handOvers, runs);
  });
});

t.test('dispatch() tells the truth about an engine that is gone', async (t) => {
  const hop = await Hop.start(t);
  await hop.engine.close();
  t.equal(await hop.run(), BackendCallStage.BeforeHandOver);
  t.equal(hop.handOvers, 0);
});

t.test('dispatch() runs a call once when its old connection has gone silent', async (t) => {
  // Symptom: a notice reached its recipient twice. Sequence: the first call left
  // an open connection behind; something between the ends forgot it; the second
  // call went out on it, nothing came back, and it was sent again. Cause: the
  // body was sent before the connection had shown that it lives.
  const hop = await Hop.start(t);
  t.match(await hop.run(), /\[DONE\]/);
  await hop.setFault({ kind: FaultKind.Silent, oldConnectionsOnly: true });
  t.match(await hop.run(), /\[DONE\]/, 'the second call goes out on a new connection');
  t.equal(await hop.countRuns(), 2);
  t.equal(hop.handOvers, 2);
});

t.test('dispatch() hands nothing over once the call was taken back', async (t) => {
  const hop = await Hop.start(t);
  t.equal(await hop.run({ mayHandOver: () => false }), BackendCallStage.BeforeHandOver);
  t.equal(
    await hop.run({ mayHandOver: () => false, honoursContinue: false }),
    BackendCallStage.BeforeHandOver,
  );
  t.equal(await hop.countRuns(), 0);
});

t.test('dispatch() works without 100-continue, on a connection of its own', async (t) => {
  const hop = await Hop.start(t, false);
  t.match(await hop.run({ honoursContinue: false }), /\[DONE\]/);
  t.equal(hop.handOvers, 1);
});

t.test('dispatch() says after hand-over when the caller ends it there', async (t) => {
  const hop = await Hop.start(t);
  await hop.setFault({ kind: FaultKind.Slow, factor: 1000 });
  const controller = new AbortController();
  const running = hop.run({
    signal: controller.signal,
    onHandOver: () => setImmediate(() => controller.abort()),
  });
  t.equal(await running, BackendCallStage.AfterHandOver);
});

t.test('resume() gives the rest of a stream and starts nothing', async (t) => {
  const hop = await Hop.start(t);
  const answer = await hop.dispatch();
  const whole = await readText(answer);
  const streamId = answer.streamId ?? '';
  const rest = await hop.client.resume({
    backendServer: hop.server,
    streamId,
    offset: 100,
    signal: new AbortController().signal,
  });
  t.equal(await readText(rest), whole.slice(100));
  t.equal(await hop.countRuns(), 1);
});

t.test('resume() finds a stream by the ID of its request', async (t) => {
  // Symptom: "may have run" for a report that the engine was writing. Sequence:
  // the connection went silent between the body and the head. Cause: the name
  // of the stream stood in the head only.
  const hop = await Hop.start(t);
  const whole = await readText(await hop.dispatch());
  const found = await hop.client.resume({
    backendServer: hop.server,
    streamId: 'request-1',
    offset: 0,
    signal: new AbortController().signal,
  });
  t.equal(await readText(found), whole);
});

[true, false].forEach((honoursContinue) => {
  t.test(`dispatch() gives up a head that does not come (100: ${honoursContinue})`, async (t) => {
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
    const hop = await Hop.start(t);
    const { port } = server.address() as AddressInfo;
    const stage = await hop.run({
      backendServer: { ...hop.server, url: `http://127.0.0.1:${port}` },
      headTimeoutMs: CONTINUE_TIMEOUT_MS,
      honoursContinue,
    });
    t.equal(stage, BackendCallStage.AfterHandOver);
    t.equal(hop.handOvers, 1);
  });
});

t.test('resume() refuses a stream that is not there', async (t) => {
  const hop = await Hop.start(t);
  const resumed = hop.client.resume({
    backendServer: hop.server,
    streamId: 'unknown',
    offset: 0,
    signal: new AbortController().signal,
  });
  t.match(await resumed.catch((error: unknown) => error), { stage: BackendCallStage.Answering });
});

t.test('readLoad() and readCacheEvents() give what the engine reports', async (t) => {
  const hop = await Hop.start(t);
  t.same(await hop.client.readLoad(hop.server), { running: 0, waiting: 0, leaving: false });
  t.same(await hop.client.readCacheEvents(hop.server, 0), []);
});
