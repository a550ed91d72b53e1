/**
 * The side of forwarding that passes calls on to their owners.
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

/** Options of the client. */
export interface ForwardClientOptions {
  readonly peers: PeerNetwork;
  readonly membership: MembershipView;
}

/** What a forwarded call carries besides its name. */
export type ForwardFields = Omit<ForwardCallMessage, 'type' | 'callId'>;

/** What comes back. */
type Reply = ForwardHeadMessage | ForwardChunkMessage | ForwardEndMessage | ForwardErrorMessage;

interface Pending {
  readonly incarnation: string;
  readonly ownerId: string;
  /** Replies not yet taken; the credit bounds them. */
  readonly replies: Reply[];
  readonly arrival: Signal;
  isLost: boolean;
}

/** Passes calls on and gives their answers. */
export class ForwardClient {
  readonly #options: ForwardClientOptions;

  readonly #pending = new Map<number, Pending>();

  #lastCallId = 0;

  /** @param options - the links and who is there */
  constructor(options: ForwardClientOptions) {
    this.#options = options;
    const { peers, membership } = options;
    const take = (from: { readonly incarnation: string }, reply: Reply): void => {
      this.#handleReply(from.incarnation, reply);
    };
    peers.handle(PeerMessageType.ForwardHead, take);
    peers.handle(PeerMessageType.ForwardChunk, take);
    peers.handle(PeerMessageType.ForwardEnd, take);
    peers.handle(PeerMessageType.ForwardError, take);
    peers.onLink((event) => {
      if (!event.up) this.#failCalls((pending) => pending.incarnation === event.peer.incarnation);
    });
    membership.onChange(() => this.#failUnreachable());
  }

  /**
   * Passes a call on.
   *
   * @param ownerId - the owner's name, for messages
   * @param incarnation - the owner's incarnation
   * @param fields - the call
   * @param callerGone - aborted when the caller's connection is gone
   * @returns the owner's answer, head first
   * @throws SchedulerError as the owner refused it, or of kind OwnerGone or OwnerUnreachable
   */
  async forward(
    ownerId: string,
    incarnation: string,
    fields: ForwardFields,
    callerGone: AbortSignal,
  ): Promise<{ readonly head: AnswerHead; readonly body: AsyncGenerator<Uint8Array> }> {
    const callId = this.#open(ownerId, incarnation, fields);
    const cancel = (): void => this.#cancel(callId);
    if (callerGone.aborted) cancel();
    else callerGone.addEventListener('abort', cancel, { once: true });
    const forget = (): void => {
      callerGone.removeEventListener('abort', cancel);
      this.#pending.delete(callId);
    };
    try {
      const first = await this.#take(callId);
      if (first.type !== PeerMessageType.ForwardHead) throw toError(first, ownerId);
      return {
        head: { status: first.status, headers: first.headers },
        body: this.#readBody(callId, fields.offset, forget),
      };
    } catch (error) {
      forget();
      throw error;
    }
  }

  #open(ownerId: string, incarnation: string, fields: ForwardFields): number {
    const { membership, peers } = this.#options;
    const owner = membership.findIncarnation(incarnation);
    if (!owner) throw buildGone(ownerId, ErrorKind.OwnerGone);
    if (owner.state === PeerState.Suspected) throw buildGone(ownerId, ErrorKind.OwnerUnreachable);
    this.#lastCallId += 1;
    const callId = this.#lastCallId;
    this.#pending.set(callId, {
      ownerId,
      incarnation,
      replies: [],
      arrival: new Signal(),
      isLost: false,
    });
    if (peers.send(incarnation, { ...fields, type: PeerMessageType.ForwardCall, callId })) {
      return callId;
    }
    this.#pending.delete(callId);
    throw buildGone(ownerId, ErrorKind.OwnerUnreachable);
  }

  async *#readBody(
    callId: number,
    firstOffset: number,
    onEnd: () => void,
  ): AsyncGenerator<Uint8Array> {
    let offset = firstOffset;
    let uncredited = 0;
    let isOver = false;
    const ownerId = this.#pending.get(callId)?.ownerId ?? '';
    try {
      for (;;) {
        const reply = await this.#take(callId);
        if (reply.type === PeerMessageType.ForwardChunk) {
          // A part that was lost on the link would give the caller a whole-looking
          // answer with a hole; the offsets show it.
          if (reply.offset !== offset) throw buildGap(offset, reply.offset);
          offset += reply.bytes.length;
          uncredited += reply.bytes.length;
          yield reply.bytes;
          if (uncredited >= CREDIT_STEP_BYTES) {
            this.#sendCredit(callId, uncredited);
            uncredited = 0;
          }
        } else {
          isOver = true;
          if (reply.type !== PeerMessageType.ForwardEnd) throw toError(reply, ownerId);
          if (reply.length !== offset) throw buildGap(offset, reply.length);
          return;
        }
      }
    } finally {
      if (!isOver) this.#cancel(callId);
      onEnd();
    }
  }

  async #take(callId: number): Promise<Reply> {
    const pending = this.#pending.get(callId);
    while (pending && !pending.isLost && pending.replies.length === 0) await pending.arrival.wait();
    const reply = pending?.replies.shift();
    if (reply) return reply;
    throw buildGone(pending?.ownerId ?? 'unknown', ErrorKind.OwnerUnreachable);
  }

  #handleReply(incarnation: string, reply: Reply): void {
    const pending = this.#pending.get(reply.callId);
    // Call IDs are this process's own, yet a peer could name another's call.
    if (pending?.incarnation !== incarnation) return;
    pending.replies.push(reply);
    pending.arrival.notify();
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
    noteLost(pending);
  }

  #failUnreachable(): void {
    this.#failCalls((pending) => {
      const owner = this.#options.membership.findIncarnation(pending.incarnation);
      return !owner || owner.state === PeerState.Suspected;
    });
  }

  /** Ends calls whose owner went out of reach: their callers are told at once. */
  #failCalls(isLost: (pending: Pending) => boolean): void {
    this.#pending.forEach((pending) => {
      if (isLost(pending)) noteLost(pending);
    });
  }
}

function noteLost(pending: Pending): void {
  Object.assign(pending, { isLost: true });
  pending.arrival.close();
}

function buildGone(ownerId: string, kind: ErrorKind): SchedulerError {
  return new SchedulerError(kind, {
    message: `Cannot tell what became of the request: its owner ${ownerId} is out of reach`,
    run: RunOutcome.MayHaveRun,
  });
}

function buildGap(expected: number, got: number): SchedulerError {
  return new SchedulerError(ErrorKind.AnswerCut, {
    message: `Cannot pass the answer on: expected offset ${expected}, got ${got}`,
  });
}

function toError(reply: Reply, ownerId: string): SchedulerError {
  if (reply.type !== PeerMessageType.ForwardError) return buildGone(ownerId, ErrorKind.Internal);
  return new SchedulerError(reply.kind, {
    message: reply.message,
    run: reply.run,
    retryAfterMs: reply.retryAfterMs,
  });
}
