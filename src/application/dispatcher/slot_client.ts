/**
 * The owner's side: asks dispatchers for slots.
 *
 * @module
 */
import { PeerState } from '../../domain/membership/mod.js';
import { SchedulerError } from '../../domain/errors/mod.js';
import { TIER_NAMES } from '../../domain/scheduling/mod.js';
import { Hop, PeerMessageType, SlotOutcome } from '../../ports/mod.js';
import type {
  GroupLoad,
  PeerMessage,
  SlotGrantMessage,
  SlotRefusalMessage,
} from '../../ports/mod.js';
import { startProcess } from '../channels/mod.js';
import { SlotSource } from '../views/mod.js';
import type { Slot, SlotUse, SlotWish } from '../views/mod.js';
import type { SlotClientOptions } from './dispatcher_options.js';
import { acquireSlot } from './_acquire_slot.js';
import { KnownLoads } from './_known_loads.js';
import { MessageOutbox } from './_message_outbox.js';
import { PendingWait, WaitEventKind } from './_pending_wait.js';
import type { WaitEvent } from './_pending_wait.js';

/** Ended waits that are remembered, so that a late grant can be given back. */
const MAX_ENDED = 4096;

const UNUSED: SlotUse = {
  outcome: SlotOutcome.Unused,
  firstByteMs: 0,
  totalMs: 0,
  outputTokens: 0,
};

/** Gets slots for owned requests, wherever their dispatchers are. */
export class SlotClient extends SlotSource {
  readonly options: SlotClientOptions;

  /** What is known of groups that are dispatched elsewhere. */
  readonly loads = new KnownLoads();

  readonly #outbox: MessageOutbox;

  readonly #waits = new Map<number, PendingWait>();

  /** Group of each wait that ended, oldest first. */
  readonly #ended = new Map<number, string>();

  /** Tickets whose slots are held. */
  readonly #held = new Set<number>();

  #lastTicket = 0;

  /** @param options - what it is built from */
  constructor(options: SlotClientOptions) {
    super();
    this.options = options;
    const { peers, membership } = options;
    this.#outbox = new MessageOutbox(peers, membership);
    peers.handle(PeerMessageType.SlotGrant, ({ incarnation }, message) =>
      this.#handleGrant(incarnation, message),
    );
    peers.handle(PeerMessageType.SlotRefusal, ({ incarnation }, message) =>
      this.#handleRefusal(incarnation, message),
    );
    peers.onLink(({ peer, up }) => up || this.#noteLost(peer.incarnation));
    membership.onChange(() => this.#handleMembershipChange());
  }

  override async acquire(wish: SlotWish): Promise<Slot> {
    const { clock, metrics, tracer } = this.options;
    const tier = TIER_NAMES[wish.tier];
    const startedAtMs = clock.nowMs();
    const span = tracer.startSpan(Hop.Dispatcher, wish.traceparent);
    try {
      const slot = await startProcess(() => acquireSlot(this, wish));
      metrics.record('slot_wait_ms', clock.nowMs() - startedAtMs, { tier });
      span.setAttributes({ backendServer: slot.backendServer.id, tier });
      span.end();
      return slot;
    } catch (error) {
      const kind = error instanceof SchedulerError ? error.kind : 'internal';
      metrics.count('slot_refusals_total', { tier, kind });
      span.end(kind);
      throw error;
    }
  }

  /** Ends every wait. */
  stop(): void {
    this.#waits.forEach((wait) => wait.notify({ kind: WaitEventKind.Ended }));
  }

  /**
   * Takes in what a peer's heartbeat says of the groups that it dispatches.
   *
   * @param incarnation - the peer
   * @param groups - their loads
   */
  handleGroupLoads(incarnation: string, groups: readonly GroupLoad[]): void {
    if (incarnation === this.options.membership.self.incarnation) return;
    const nowMs = this.options.clock.nowMs();
    this.loads.update(groups, nowMs);
    this.options.dispatcher.noteGroupLoads(this.loads.list(nowMs));
  }

  /**
   * Opens a wait; used by the process of one wish.
   *
   * @param groupId - the group
   * @param dispatcher - incarnation of the dispatcher
   * @returns the wait
   */
  openWait(groupId: string, dispatcher: string): PendingWait {
    this.#lastTicket += 1;
    const wait = new PendingWait(this.#lastTicket, groupId, dispatcher);
    this.#waits.set(wait.ticket, wait);
    return wait;
  }

  /**
   * Sends a message to a dispatcher, which may be in this process.
   *
   * @param incarnation - the dispatcher's
   * @param message - the message
   * @returns false when there is no link to it
   */
  send(incarnation: string, message: PeerMessage): boolean {
    if (incarnation !== this.options.membership.self.incarnation)
      return this.options.peers.send(incarnation, message);
    this.#sendLocally(message);
    return true;
  }

  /**
   * Ends a wait that brought nothing. The dispatcher is told even if it seems to
   * be gone: it may hold a slot for this ticket.
   *
   * @param wait - the wait
   * @param mustTell - whether the dispatcher may still believe in it
   */
  closeWait(wait: PendingWait, mustTell: boolean): void {
    this.#waits.delete(wait.ticket);
    this.#ended.set(wait.ticket, wait.groupId);
    const [oldest] = this.#ended.keys();
    if (this.#ended.size > MAX_ENDED && oldest !== undefined) this.#ended.delete(oldest);
    if (!mustTell) return;
    this.#sendSurely(wait.dispatcher, {
      type: PeerMessageType.SlotCancel,
      ticket: wait.ticket,
    });
  }

  /**
   * Turns a wait into a held slot.
   *
   * @param wait - the wait that was granted
   * @param grantId - the grant
   * @returns gives the slot back; a second call does nothing
   */
  holdSlot(wait: PendingWait, grantId: number): (use: SlotUse) => void {
    this.#waits.delete(wait.ticket);
    this.#held.add(wait.ticket);
    return (use) => {
      if (!this.#held.delete(wait.ticket)) return;
      this.closeWait(wait, false);
      this.#release(wait.dispatcher, wait.groupId, grantId, use);
    };
  }

  #handleGrant(dispatcher: string, message: SlotGrantMessage): void {
    const { ticket, grantId, backendServerId, validMs } = message;
    // A repeated answer to a repeated question: the slot is in use.
    if (this.#held.has(ticket)) return;
    const wait = this.#waits.get(ticket);
    const kind = WaitEventKind.Granted as const;
    if (wait?.dispatcher === dispatcher && wait.notify({ kind, grantId, backendServerId, validMs }))
      return;
    // Nobody waits for it any more; the slot must not lie idle until it is reclaimed.
    const groupId = wait?.groupId ?? this.#ended.get(ticket);
    if (groupId === undefined)
      this.#sendSurely(dispatcher, { type: PeerMessageType.SlotCancel, ticket });
    else this.#release(dispatcher, groupId, grantId, UNUSED);
  }

  #handleRefusal(dispatcher: string, message: SlotRefusalMessage): void {
    const wait = this.#waits.get(message.ticket);
    if (wait?.dispatcher !== dispatcher) return;
    const { kind: reason, retryAfterMs } = message;
    wait.notify({ kind: WaitEventKind.Refused, reason, retryAfterMs });
  }

  #release(dispatcher: string, groupId: string, grantId: number, use: SlotUse): void {
    this.#sendSurely(dispatcher, { type: PeerMessageType.SlotRelease, groupId, grantId, ...use });
  }

  #sendSurely(dispatcher: string, message: PeerMessage): void {
    if (dispatcher === this.options.membership.self.incarnation) this.#sendLocally(message);
    else this.#outbox.send(dispatcher, message);
  }

  #sendLocally(message: PeerMessage): void {
    const { dispatcher, membership } = this.options;
    const { incarnation } = membership.self;
    if (message.type === PeerMessageType.SlotRequest) {
      const send = (answer: SlotGrantMessage | SlotRefusalMessage): boolean => {
        if (answer.type === PeerMessageType.SlotGrant) this.#handleGrant(incarnation, answer);
        else this.#handleRefusal(incarnation, answer);
        return true;
      };
      dispatcher.handleRequest({ incarnation, send }, message);
    }
    if (message.type === PeerMessageType.SlotCancel)
      dispatcher.handleCancel(incarnation, message.ticket);
    if (message.type === PeerMessageType.SlotRelease)
      dispatcher.handleRelease(incarnation, message);
  }

  #handleMembershipChange(): void {
    this.#outbox.prune();
    const { membership } = this.options;
    const dispatchers = new Set([...this.#waits.values()].map(({ dispatcher }) => dispatcher));
    dispatchers.delete(membership.self.incarnation);
    dispatchers.forEach((incarnation) => {
      const view = membership.findIncarnation(incarnation);
      if (!view || view.state === PeerState.Suspected) this.#noteLost(incarnation);
    });
  }

  #noteLost(incarnation: string): void {
    const event: WaitEvent = { kind: WaitEventKind.DispatcherLost };
    this.#waits.forEach((wait) => wait.dispatcher === incarnation && wait.notify(event));
  }
}
