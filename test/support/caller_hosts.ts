/**
 * Two fake entry hosts and a client that calls them, for tests of the caller client.
 *
 * @module
 */
import type { ServerResponse } from 'node:http';
import type { Test } from 'tap';
import { SystemClock } from '../../src/adapters/clock/mod.js';
import { CallerClient, CallerError } from '../../src/caller/mod.js';
import type { CallerReply } from '../../src/caller/mod.js';
import type { Timer } from '../../src/ports/mod.js';
import { FakeEntryHost, sendJson } from './fake_entry_host.js';
import type { FakeHandler } from './fake_entry_host.js';

/** Path of chat completions. */
export const CHAT_PATH = '/v1/chat/completions';
/** A call of a chat completion. */
export const CHAT_CALL = { method: 'POST', path: CHAT_PATH, body: '{"model":"m"}' };
/** Events of a streamed response, without the last one. */
export const STREAM_EVENTS = [1, 2, 3, 4].map((index) => `data: {"part":"é${index}"}\n\n`);
/** The complete body of the streamed response. */
export const STREAM_BODY = Buffer.from([...STREAM_EVENTS, 'data: [DONE]\n\n'].join(''));
/** Headers of the streamed response. */
export const STREAM_HEADERS = {
  'content-type': 'text/event-stream',
  'backend-server': 'engine-1',
  'stream-id': 'stream-7',
};

/**
 * A clock whose timers between 20 and 2000 ms fire at once: a backoff takes no time, while other
 * timers such as timeouts keep their duration.
 */
class ImmediateBackoffClock extends SystemClock {
  override setTimer(delayMs: number, callback: () => void): Timer {
    return super.setTimer(delayMs < 2000 && delayMs > 20 ? 0 : delayMs, callback);
  }
}

/** The entry hosts and the client of a test. */
export interface CallerSetup {
  readonly owner: FakeEntryHost;
  readonly other: FakeEntryHost;
  readonly client: CallerClient;
}

/**
 * Starts two fake entry hosts that name each other as peers, and a client that knows the URL of
 * the first.
 *
 * @param t - test at whose end they stop
 * @param handlers - handlers of all requests except those for a request ID
 * @param silenceMs - silence timeout of the client in milliseconds
 * @returns the entry hosts and the client
 */
export async function startHosts(
  t: Test,
  handlers: { readonly owner: FakeHandler; readonly other: FakeHandler },
  silenceMs?: number,
): Promise<CallerSetup> {
  const owner = await FakeEntryHost.start();
  const other = await FakeEntryHost.start();
  let idCount = 0;
  const assignIds =
    (self: FakeEntryHost, peer: FakeEntryHost, handle: FakeHandler): FakeHandler =>
    (request, response) => {
      if (request.path !== '/v1/requests') {
        handle(request, response);
        return;
      }
      idCount += 1;
      sendJson(response, 200, {
        id: `request-${idCount}`,
        entryHost: { id: 'self', url: self.url },
        entryHosts: [{ id: 'peer', url: peer.url }],
        keepMs: 30_000,
      });
    };
  owner.handle = assignIds(owner, other, handlers.owner);
  other.handle = assignIds(other, owner, handlers.other);
  const client = new CallerClient({
    urls: [owner.url],
    apiKey: 'secret-key',
    clock: new ImmediateBackoffClock(),
    silenceTimeoutMs: silenceMs,
  });
  t.teardown(() => {
    client.close();
    return Promise.all([owner.close(), other.close()]);
  });
  return { owner, other, client };
}

/** Reads the complete body of a reply. @param reply - the reply. @returns the bytes */
export async function readAll(reply: CallerReply): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of reply.body) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/**
 * Sends the first bytes of a response, then closes the connection.
 *
 * @param response - response to write to
 * @param bytes - the first bytes
 */
export function sendThenClose(response: ServerResponse, bytes: Buffer): void {
  response.writeHead(200, STREAM_HEADERS);
  if (bytes.length === 0) response.flushHeaders();
  response.write(bytes, () => response.socket?.destroySoon());
}

/** Handles `GET /v1/requests/{id}?offset=N`: sends the streamed response from the offset on. */
export const handleResume: FakeHandler = ({ query }, response) => {
  response.writeHead(200, STREAM_HEADERS).end(STREAM_BODY.subarray(Number(query.get('offset'))));
};

/** Waits for a promise to fail. @param step - must fail with CallerError. @returns the error */
export async function waitForCallerError(step: Promise<unknown>): Promise<CallerError> {
  const error: unknown = await step.then(
    () => new Error('it was answered'),
    (thrown: unknown) => thrown,
  );
  if (error instanceof CallerError) return error;
  throw error;
}
