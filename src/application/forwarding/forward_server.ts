/**
 * The owner's side of forwarding.
 *
 * @module
 */
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/types.js';
import { PeerMessageType } from '../../ports/mod.js';
import type { ForwardCallMessage, PeerNetwork } from '../../ports/mod.js';
import { Signal } from '../channels/mod.js';
import type { AnswerHead } from '../owner/mod.js';
import { INITIAL_CREDIT_BYTES, MAX_CHUNK_BYTES } from './_forward_limits.js';

/** An answer for a peer. */
export interface ForwardedAnswer {
  readonly head: AnswerHead;
  /** Body from the call's offset on. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** Answers one forwarded call; may throw SchedulerError. */
export type ForwardHandler = (
  call: ForwardCallMessage,
  callerGone: AbortSignal,
) => Promise<ForwardedAnswer>;

/** Options of the server. */
export interface ForwardServerOptions {
  readonly peers: PeerNetwork;
  readonly handler: ForwardHandler;
}

/** One call that is being answered. */
interface Serving {
  readonly peer: EntryHostIdentity;
  readonly callerGone: AbortController;
  readonly room: Signal;
  credit: number;
}

/** Serves calls that peers pass on. */
export class ForwardServer {
  readonly #options: ForwardServerOptions;

  readonly #serving = new Map<string, Serving>();

  /** @param options - the links and who answers */
  constructor(options: ForwardServerOptions) {
    this.#options = options;
  }

  /** Begins to take calls from peers. */
  start(): void {
    const { peers } = this.#options;
    peers.handle(PeerMessageType.ForwardCall, (from, call) => {
      this.#serve(from, call).catch(() => undefined);
    });
    peers.handle(PeerMessageType.ForwardCredit, (from, message) => {
      const serving = this.#serving.get(formatKey(from, message.callId));
      if (!serving) return;
      serving.credit += message.bytes;
      serving.room.notify();
    });
    peers.handle(PeerMessageType.ForwardCancel, (from, message) => {
      this.#end(formatKey(from, message.callId));
    });
    peers.onLink((event) => {
      if (event.up) return;
      this.#serving.forEach((serving, key) => {
        if (serving.peer.incarnation === event.peer.incarnation) this.#end(key);
      });
    });
  }

  async #serve(from: EntryHostIdentity, call: ForwardCallMessage): Promise<void> {
    const key = formatKey(from, call.callId);
    const serving: Serving = {
      peer: from,
      callerGone: new AbortController(),
      room: new Signal(),
      credit: INITIAL_CREDIT_BYTES,
    };
    this.#serving.set(key, serving);
    try {
      await this.#answer(serving, call);
    } catch (error) {
      this.#refuse(from, call.callId, error);
    } finally {
      this.#serving.delete(key);
    }
  }

  async #answer(serving: Serving, call: ForwardCallMessage): Promise<void> {
    const { peers, handler } = this.#options;
    const { callId } = call;
    const { incarnation } = serving.peer;
    const answer = await handler(call, serving.callerGone.signal);
    peers.send(incarnation, { type: PeerMessageType.ForwardHead, callId, ...answer.head });
    let { offset } = call;
    for await (const bytes of answer.body) {
      for (let at = 0; at < bytes.length; at += MAX_CHUNK_BYTES) {
        const part = bytes.subarray(at, at + MAX_CHUNK_BYTES);
        await waitForCredit(serving, part.length);
        const isSent = peers.send(incarnation, {
          type: PeerMessageType.ForwardChunk,
          callId,
          offset,
          bytes: part,
        });
        if (!isSent || serving.callerGone.signal.aborted) return;
        offset += part.length;
      }
    }
    peers.send(incarnation, { type: PeerMessageType.ForwardEnd, callId, length: offset });
  }

  #refuse(peer: EntryHostIdentity, callId: number, error: unknown): void {
    const told =
      error instanceof SchedulerError
        ? error
        : new SchedulerError(ErrorKind.Internal, { cause: error });
    this.#options.peers.send(peer.incarnation, {
      type: PeerMessageType.ForwardError,
      callId,
      kind: told.kind,
      run: told.run,
      message: told.message,
      retryAfterMs: told.retryAfterMs,
    });
  }

  #end(key: string): void {
    const serving = this.#serving.get(key);
    if (!serving) return;
    serving.callerGone.abort();
    serving.room.close();
  }
}

async function waitForCredit(serving: Serving, bytes: number): Promise<void> {
  while (serving.credit < bytes && !serving.callerGone.signal.aborted) await serving.room.wait();
  Object.assign(serving, { credit: serving.credit - bytes });
}

function formatKey(peer: EntryHostIdentity, callId: number): string {
  return `${peer.incarnation}/${callId}`;
}
