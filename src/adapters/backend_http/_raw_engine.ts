/**
 * A raw backend server and a client, for the tests of this folder.
 *
 * @module
 */
import type { Test } from 'tap';
import { BackendCallError } from '../../ports/mod.js';
import type { BackendServer } from '../../domain/contracts/types.js';
import { startRawServer } from '../direct_http/_test_servers.js';
import { HttpBackendServerClient } from './mod.js';

/** A backend server at an address, and a client that tells how its answers end. */
export class RawEngine {
  readonly client = new HttpBackendServerClient();

  readonly backendServer: BackendServer;

  /** @param t - the test at whose end the client is closed. @param address - where the server is */
  constructor(t: Test, address: string) {
    this.backendServer = {
      id: 'engine-1',
      serviceId: 'monsoon-llm',
      url: `http://${address}`,
      engineKind: 'fast',
      availabilityZone: 'hall-a',
    };
    t.teardown(() => this.client.close());
  }

  /** Starts a server that gives each request the same answer. */
  static async start(t: Test, answer: string): Promise<RawEngine> {
    const server = await startRawServer((socket) => socket.end(answer));
    t.teardown(() => server.close());
    return new RawEngine(t, server.address);
  }

  /** @returns the text of the answer, or the stage at which it failed */
  async run(honoursContinue = false, body = Buffer.from('question')): Promise<string> {
    return this.#read(
      this.client.dispatch({
        backendServer: this.backendServer,
        method: 'POST',
        path: '/work',
        headers: {},
        body,
        honoursContinue,
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
