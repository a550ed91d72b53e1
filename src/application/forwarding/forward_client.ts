/**
 * Forwards calls to the owners of their requests.
 *
 * @module
 */
import { ErrorKind, RunOutcome, SchedulerError } from '../../domain/errors/mod.js';
import { PeerState } from '../../domain/membership/types.js';
import { PeerMessageType } from '../../ports/mod.js';
import type {
  ForwardCallMessage,
  ForwardEndMessage,
  ForwardErrorMessage,
  ForwardHeadMessage,
  ForwardChunkMessage,
  PeerNetwork,
} from '../../ports/mod.js';
import { Signal } from '../channels/mod.js';
import type { AnswerHead } from '../owner/mod.js';
import type { MembershipView } from '../views/mod.js';
import { CREDIT_STEP_BYTES } from './_forward_limits.js';

/** Options of {@link ForwardClient}. */
export interface ForwardClientOptions {
  readonly peers: PeerNetwork;
  readonly membership: MembershipView;
}

/** Fields of a forwarded call, without its message type and call ID. */
export type ForwardFields = Omit<ForwardCallMessage, 'type' | 'callId'>;

/** A message that the owner sends back. */
type Reply = ForwardHeadMessage | ForwardChunkMessage | ForwardEndMessage | ForwardErrorMessage;

interface PendingCall {
  readonly incarnation: string;
  readonly ownerId: string;
  /** Replies not yet consumed; flow-control credit bounds their size. */
  readonly replies: Reply[];
  readonly replySignal: Signal;
  isClosed: boolean;
}

/** Forwards calls to their owners and returns the owners' answers. */
export class ForwardClient {
  readonly #options: ForwardClientOptions;

  readonly #pending = new Map<number, PendingCall>();

  #lastCallId = 0;

  /** @param options - peer links and membership */
  constructor(options: ForwardClientOptions) {
    this.#options = options;
    const { peers, membership } = options;
    const handleReply = (from: { readonly incarnation: string }, reply: Reply): void => {
      this.#handleReply(from.incarnation, reply);
    };
    peers.handle(PeerMessageType.ForwardHead, handleReply);
    peers.handle(PeerMessageType.ForwardChunk, handleReply);
    peers.handle(PeerMessageType.ForwardEnd, handleReply);
    peers.handle(PeerMessageType.ForwardError, handleReply);
    peers.onLinkChange((event) => {
      if (!event.up) this.#failCalls((pending) => pending.incarnation === event.peer.incarnation);
    });
    membership.onChange(() => this.#failUnreachableCalls());
  }

  /**
   * Forwards a call to its owner.
   *
   * @param ownerId - the owner's ID, for error messages
   * @param incarnation - the owner's incarnation
   * @param fields - the call
   * @param disconnectSignal - aborted when the caller disconnects
   * @returns the owner's answer, as soon as its head has arrived
   * @throws SchedulerError the owner's error, or one of kind OwnerGone or OwnerUnreachable
   */
  async forward(
    ownerId: string,
    incarnation: string,
    fields: ForwardFields,
    disconnectSignal: AbortSignal,
  ): Promise<{ readonly head: AnswerHead; readonly body: AsyncGenerator<Uint8Array> }> {
    const callId = this.#sendCall(ownerId, incarnation, fields);
    const cancel = (): void => this.#cancel(callId);
    if (disconnectSignal.aborted) cancel();
    else disconnectSignal.addEventListener('abort', cancel, { once: true });
    const cleanUp = (): void => {
      disconnectSignal.removeEventListener('abort', cancel);
      this.#pending.delete(callId);
    };
    try {
      const first = await this.#takeReply(callId);
      if (first.type !== PeerMessageType.ForwardHead) throw toSchedulerError(first, ownerId);
      return {
        head: {
          status: first.status,
          headers: first.headers,
          isFramed: first.isFramed !== false,
        },
        body: this.#readBody(callId, fields.offset, cleanUp),
      };
    } catch (error) {
      cleanUp();
      throw error;
    }
  }

  #sendCall(ownerId: string, incarnation: string, fields: ForwardFields): number {
    const { membership, peers } = this.#options;
    const owner = membership.findIncarnation(incarnation);
    if (!owner) throw buildOwnerLostError(ownerId, ErrorKind.OwnerGone);
    if (owner.state === PeerState.Suspected)
      throw buildOwnerLostError(ownerId, ErrorKind.OwnerUnreachable);
    this.#lastCallId += 1;
    const callId = this.#lastCallId;
    this.#pending.set(callId, {
      ownerId,
      incarnation,
      replies: [],
      replySignal: new Signal(),
      isClosed: false,
    });
    if (peers.send(incarnation, { ...fields, type: PeerMessageType.ForwardCall, callId })) {
      return callId;
    }
    this.#pending.delete(callId);
    throw buildOwnerLostError(ownerId, ErrorKind.OwnerUnreachable);
  }

  async *#readBody(
    callId: number,
    firstOffset: number,
    onEnd: () => void,
  ): AsyncGenerator<Uint8Array> {
    let offset = firstOffset;
    let uncreditedBytes = 0;
    let hasEnded = false;
    const ownerId = this.#pending.get(callId)?.ownerId ?? '';
    try {
      for (;;) {
        const reply = await this.#takeReply(callId);
        if (reply.type === PeerMessageType.ForwardChunk) {
          // The offsets reveal a chunk lost on the link, which would leave a gap in an
          // answer that looks complete to the caller.
          if (reply.offset !== offset) throw buildOffsetError(offset, reply.offset);
          offset += reply.bytes.length;
          uncreditedBytes += reply.bytes.length;
          yield reply.bytes;
          if (uncreditedBytes >= CREDIT_STEP_BYTES) {
            this.#sendCredit(callId, uncreditedBytes);
            uncreditedBytes = 0;
          }
        } else {
          hasEnded = true;
          if (reply.type !== PeerMessageType.ForwardEnd) throw toSchedulerError(reply, ownerId);
          if (reply.length !== offset) throw buildOffsetError(offset, reply.length);
          return;
        }
      }
    } finally {
      if (!hasEnded) this.#cancel(callId);
      onEnd();
    }
  }

  async #takeReply(callId: number): Promise<Reply> {
    const pending = this.#pending.get(callId);
    while (pending && !pending.isClosed && pending.replies.length === 0)
      await pending.replySignal.wait();
    const reply = pending?.replies.shift();
    if (reply) return reply;
    throw buildOwnerLostError(pending?.ownerId ?? 'unknown', ErrorKind.OwnerUnreachable);
  }

  #handleReply(incarnation: string, reply: Reply): void {
    const pending = this.#pending.get(reply.callId);
    // This process assigns call IDs, but a peer could send a reply to another peer's call.
    if (pending?.incarnation !== incarnation) return;
    pending.replies.push(reply);
    pending.replySignal.notify();
  }

  #sendCredit(callId: number, bytes: number): void {
    const pending = this.#pending.get(callId);
    if (!pending) return;
    this.#options.peers.send(pending.incarnation, {
      type: PeerMessageType.ForwardCredit,
      callId,
      bytes,
    });
  }

  #cancel(callId: number): void {
    const pending = this.#pending.get(callId);
    if (!pending) return;
    this.#options.peers.send(pending.incarnation, { type: PeerMessageType.ForwardCancel, callId });
    closeCall(pending);
  }

  #failUnreachableCalls(): void {
    this.#failCalls((pending) => {
      const owner = this.#options.membership.findIncarnation(pending.incarnation);
      return !owner || owner.state === PeerState.Suspected;
    });
  }

  /** Fails calls whose owner has become unreachable, so that their callers learn it at once. */
  #failCalls(mustFail: (pending: PendingCall) => boolean): void {
    this.#pending.forEach((pending) => {
      if (mustFail(pending)) closeCall(pending);
    });
  }
}

function closeCall(pending: PendingCall): void {
  Object.assign(pending, { isClosed: true });
  pending.replySignal.close();
}

function buildOwnerLostError(ownerId: string, kind: ErrorKind): SchedulerError {
  return new SchedulerError(kind, {
    message: `Cannot determine the state of the request: its owner ${ownerId} is unreachable`,
    run: RunOutcome.MayHaveRun,
  });
}

function buildOffsetError(expected: number, actual: number): SchedulerError {
  return new SchedulerError(ErrorKind.AnswerCut, {
    message: `Cannot forward the answer: expected offset ${expected}, got ${actual}`,
  });
}

function toSchedulerError(reply: Reply, ownerId: string): SchedulerError {
  if (reply.type !== PeerMessageType.ForwardError)
    return buildOwnerLostError(ownerId, ErrorKind.Internal);
  return new SchedulerError(reply.kind, {
    message: reply.message,
    run: reply.run,
    retryAfterMs: reply.retryAfterMs,
  });
}
