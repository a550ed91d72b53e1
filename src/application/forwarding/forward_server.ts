/**
 * Serves calls that peers forward to this entry host as the owner.
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

/** An answer to a forwarded call. */
export interface ForwardedAnswer {
  readonly head: AnswerHead;
  /** Body, from the offset of the call on. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** Answers one forwarded call; throws SchedulerError when the call is refused or fails. */
export type ForwardHandler = (
  call: ForwardCallMessage,
  disconnectSignal: AbortSignal,
) => Promise<ForwardedAnswer>;

/** Options of {@link ForwardServer}. */
export interface ForwardServerOptions {
  readonly peers: PeerNetwork;
  readonly handler: ForwardHandler;
}

/** State of a call that is being answered. */
interface ServedCall {
  readonly peer: EntryHostIdentity;
  readonly disconnectController: AbortController;
  readonly creditSignal: Signal;
  creditBytes: number;
}

/** Serves calls that peers forward, within the credit that they grant. */
export class ForwardServer {
  readonly #options: ForwardServerOptions;

  readonly #servedCalls = new Map<string, ServedCall>();

  /** @param options - peer links and the handler of calls */
  constructor(options: ForwardServerOptions) {
    this.#options = options;
  }

  /** Starts accepting calls from peers. */
  start(): void {
    const { peers } = this.#options;
    peers.handle(PeerMessageType.ForwardCall, (from, call) => {
      this.#serve(from, call).catch(() => undefined);
    });
    peers.handle(PeerMessageType.ForwardCredit, (from, message) => {
      const serving = this.#servedCalls.get(formatCallKey(from, message.callId));
      if (!serving) return;
      serving.creditBytes += message.bytes;
      serving.creditSignal.notify();
    });
    peers.handle(PeerMessageType.ForwardCancel, (from, message) => {
      this.#cancelCall(formatCallKey(from, message.callId));
    });
    peers.onLinkChange((event) => {
      if (event.up) return;
      this.#servedCalls.forEach((serving, key) => {
        if (serving.peer.incarnation === event.peer.incarnation) this.#cancelCall(key);
      });
    });
  }

  async #serve(from: EntryHostIdentity, call: ForwardCallMessage): Promise<void> {
    const key = formatCallKey(from, call.callId);
    const serving: ServedCall = {
      peer: from,
      disconnectController: new AbortController(),
      creditSignal: new Signal(),
      creditBytes: INITIAL_CREDIT_BYTES,
    };
    this.#servedCalls.set(key, serving);
    try {
      await this.#answer(serving, call);
    } catch (error) {
      this.#sendError(from, call.callId, error);
    } finally {
      this.#servedCalls.delete(key);
    }
  }

  async #answer(serving: ServedCall, call: ForwardCallMessage): Promise<void> {
    const { peers, handler } = this.#options;
    const { callId } = call;
    const { incarnation } = serving.peer;
    const answer = await handler(call, serving.disconnectController.signal);
    peers.send(incarnation, { type: PeerMessageType.ForwardHead, callId, ...answer.head });
    let { offset } = call;
    for await (const bytes of answer.body) {
      for (let at = 0; at < bytes.length; at += MAX_CHUNK_BYTES) {
        const chunk = bytes.subarray(at, at + MAX_CHUNK_BYTES);
        await consumeCredit(serving, chunk.length);
        const isSent = peers.send(incarnation, {
          type: PeerMessageType.ForwardChunk,
          callId,
          offset,
          bytes: chunk,
        });
        if (!isSent || serving.disconnectController.signal.aborted) return;
        offset += chunk.length;
      }
    }
    peers.send(incarnation, { type: PeerMessageType.ForwardEnd, callId, length: offset });
  }

  #sendError(peer: EntryHostIdentity, callId: number, error: unknown): void {
    const schedulerError =
      error instanceof SchedulerError
        ? error
        : new SchedulerError(ErrorKind.Internal, { cause: error });
    this.#options.peers.send(peer.incarnation, {
      type: PeerMessageType.ForwardError,
      callId,
      kind: schedulerError.kind,
      run: schedulerError.run,
      message: schedulerError.message,
      retryAfterMs: schedulerError.retryAfterMs,
    });
  }

  #cancelCall(key: string): void {
    const serving = this.#servedCalls.get(key);
    if (!serving) return;
    serving.disconnectController.abort();
    serving.creditSignal.close();
  }
}

async function consumeCredit(serving: ServedCall, bytes: number): Promise<void> {
  while (serving.creditBytes < bytes && !serving.disconnectController.signal.aborted)
    await serving.creditSignal.wait();
  Object.assign(serving, { creditBytes: serving.creditBytes - bytes });
}

function formatCallKey(peer: EntryHostIdentity, callId: number): string {
  return `${peer.incarnation}/${callId}`;
}
