import t from 'tap';
import type { Test } from 'tap';
import { BackendCallError, BackendCallStage } from '../../ports/mod.js';
import type { BackendServer } from '../../domain/contracts/types.js';
import { startRawServer } from '../direct_http/_test_servers.js';
import { HttpBackendServerClient } from './mod.js';

const HEAD = 'HTTP/1.1 200 OK\r\nStream-Id: s-1\r\n';
const CHUNKS = '2\r\nok\r\n0\r\n\r\n';

/** A server that gives each request the same answer, and a client. */
class RawEngine {
  readonly client = new HttpBackendServerClient();

  constructor(readonly backendServer: BackendServer) {}

  static async start(t: Test, answer: string): Promise<RawEngine> {
    const server = await startRawServer((socket) => socket.end(answer));
    const engine = new RawEngine({
      id: 'engine-1',
      serviceId: 'monsoon-llm',
      url: `http://${server.address}`,
      engineKind: 'fast',
      availabilityZone: 'hall-a',
    });
    t.teardown(() => {
      engine.client.close();
      server.close();
    });
    return engine;
  }

  /** @returns the text of the answer, or the stage at which it failed */
  async run(): Promise<string> {
    return this.#read(
      this.client.dispatch({
        backendServer: this.backendServer,
        method: 'POST',
        path: '/work',
        headers: {},
        body: Buffer.from('question'),
        honoursContinue: false,
        continueTimeoutMs: 1_000,
        mayHandOver: () => true,
        onHandOver: () => undefined,
        signal: new AbortController().signal,
      }),
    );
  }

  /** @returns the rest of the stream, or the stage at which it failed */
  async resume(): Promise<string> {
    const { backendServer } = this;
    const { signal } = new AbortController();
    return this.#read(this.client.resume({ backendServer, streamId: 's-1', offset: 0, signal }));
  }

  async #read(answer: ReturnType<HttpBackendServerClient['dispatch']>): Promise<string> {
    try {
      const parts: Uint8Array[] = [];
      for await (const part of (await answer).body) parts.push(part);
      return Buffer.concat(parts).toString();
    } catch (error) {
      if (error instanceof BackendCallError) return error.stage;
      throw error;
    }
  }
}

t.test('dispatch() and resume() fail on an answer in a coding that is not decoded', async (t) => {
  // Guards against coded bytes that reach the caller as the plain body, without their header.
  const cases = { gzip: 'ok', 'gzip, chunked': CHUNKS, 'chunked, gzip': CHUNKS };
  for (const [coding, body] of Object.entries(cases)) {
    const engine = await RawEngine.start(t, `${HEAD}Transfer-Encoding: ${coding}\r\n\r\n${body}`);
    t.equal(await engine.run(), BackendCallStage.Answering, coding);
    t.equal(await engine.resume(), BackendCallStage.Answering, coding);
  }
});

t.test('dispatch() and resume() read an answer whose codings change nothing', async (t) => {
  // Guards against sound answers that are refused for the way in which their coding is written.
  const cases = { 'identity, chunked': CHUNKS, identity: 'ok' };
  for (const [coding, body] of Object.entries(cases)) {
    const engine = await RawEngine.start(t, `${HEAD}Transfer-Encoding: ${coding}\r\n\r\n${body}`);
    t.equal(await engine.run(), 'ok', coding);
    t.equal(await engine.resume(), 'ok', coding);
  }
});
