/**
 * Requests slots from dispatchers on behalf of request owners.
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
import type { Slot, SlotUse, SlotRequest } from '../views/mod.js';
import type { SlotClientOptions } from './dispatcher_options.js';
import { acquireSlot } from './_acquire_slot.js';
import { GroupLoadCache } from './_group_load_cache.js';
import { MessageOutbox } from './_message_outbox.js';
import { PendingRequest, RequestEventKind } from './_pending_request.js';
import type { RequestEvent } from './_pending_request.js';

/** Maximum ended requests that are remembered, so that a late grant can be released. */
const MAX_ENDED_REQUESTS = 4096;

const UNUSED_SLOT: SlotUse = {
  outcome: SlotOutcome.Unused,
  firstByteMs: 0,
  totalMs: 0,
  outputTokens: 0,
};

/** Acquires slots for owned requests from dispatchers on any entry host. */
export class SlotClient extends SlotSource {
  readonly options: SlotClientOptions;

  /** Loads of the dispatch groups, as their dispatchers last reported them. */
  readonly groupLoads = new GroupLoadCache();

  readonly #outbox: MessageOutbox;

  readonly #pendingRequests = new Map<number, PendingRequest>();

  /** Group ID of each ended request by ticket, oldest first. */
  readonly #endedRequestGroups = new Map<number, string>();

  /** Tickets of the requests whose slots are held. */
  readonly #heldTickets = new Set<number>();

  #lastTicket = 0;

  /** @param options - options of the client */
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
    peers.onLinkChange(({ peer, up }) => up || this.#notifyDispatcherLost(peer.incarnation));
    membership.onChange(() => this.#handleMembershipChange());
  }

  override async acquire(request: SlotRequest): Promise<Slot> {
    const { clock, metrics, tracer } = this.options;
    const tier = TIER_NAMES[request.tier];
    const startedAtMs = clock.nowMs();
    const span = tracer.startSpan(Hop.Dispatcher, request.traceparent);
    try {
      const slot = await startProcess(() => acquireSlot(this, request));
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

  /** Aborts all pending requests. */
  stop(): void {
    this.#pendingRequests.forEach((pending) => pending.notify({ kind: RequestEventKind.Aborted }));
  }

  /**
   * Handles the group loads of a peer's heartbeat.
   *
   * @param incarnation - the peer's incarnation
   * @param groups - loads of the groups that the peer dispatches
   */
  handleGroupLoads(incarnation: string, groups: readonly GroupLoad[]): void {
    if (incarnation === this.options.membership.self.incarnation) return;
    const nowMs = this.options.clock.nowMs();
    this.groupLoads.update(groups, nowMs);
    this.options.dispatcher.updateGroupLoads(this.groupLoads.list(nowMs));
  }

  /**
   * Registers a pending request under a new ticket. Used by `acquireSlot`.
   *
   * @param groupId - the group
   * @param dispatcher - incarnation of the dispatcher
   * @returns the pending request
   */
  openRequest(groupId: string, dispatcher: string): PendingRequest {
    this.#lastTicket += 1;
    const pending = new PendingRequest(this.#lastTicket, groupId, dispatcher);
    this.#pendingRequests.set(pending.ticket, pending);
    return pending;
  }

  /**
   * Sends a message to a dispatcher, which may be in this process.
   *
   * @param incarnation - the dispatcher's incarnation
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
   * Ends a request that holds no slot. A cancellation is sent even to a dispatcher
   * that seems unreachable, since it may have granted a slot for the ticket.
   *
   * @param pending - the request
   * @param mustCancel - whether to send a cancellation, as the dispatcher may still have the
   *   request queued or granted
   */
  closeRequest(pending: PendingRequest, mustCancel: boolean): void {
    this.#pendingRequests.delete(pending.ticket);
    this.#endedRequestGroups.set(pending.ticket, pending.groupId);
    const [oldest] = this.#endedRequestGroups.keys();
    if (this.#endedRequestGroups.size > MAX_ENDED_REQUESTS && oldest !== undefined)
      this.#endedRequestGroups.delete(oldest);
    if (!mustCancel) return;
    this.#sendReliably(pending.dispatcher, {
      type: PeerMessageType.SlotCancel,
      ticket: pending.ticket,
    });
  }

  /**
   * Turns a granted request into a held slot.
   *
   * @param pending - the request that was granted
   * @param grantId - the grant's ID
   * @returns a function that releases the slot; a second call does nothing
   */
  holdSlot(pending: PendingRequest, grantId: number): (use: SlotUse) => void {
    this.#pendingRequests.delete(pending.ticket);
    this.#heldTickets.add(pending.ticket);
    return (use) => {
      if (!this.#heldTickets.delete(pending.ticket)) return;
      this.closeRequest(pending, false);
      this.#sendRelease(pending.dispatcher, pending.groupId, grantId, use);
    };
  }

  #handleGrant(dispatcher: string, message: SlotGrantMessage): void {
    const { ticket, grantId, backendServerId, validMs } = message;
    // This is a duplicate reply to a request that was sent again; the slot is in use.
    if (this.#heldTickets.has(ticket)) return;
    const pending = this.#pendingRequests.get(ticket);
    const kind = RequestEventKind.Granted as const;
    if (
      pending?.dispatcher === dispatcher &&
      pending.notify({ kind, grantId, backendServerId, validMs })
    )
      return;
    // The request has ended. The slot is released at once, as it would otherwise idle
    // until the dispatcher reclaims it.
    const groupId = pending?.groupId ?? this.#endedRequestGroups.get(ticket);
    if (groupId === undefined)
      this.#sendReliably(dispatcher, { type: PeerMessageType.SlotCancel, ticket });
    else this.#sendRelease(dispatcher, groupId, grantId, UNUSED_SLOT);
  }

  #handleRefusal(dispatcher: string, message: SlotRefusalMessage): void {
    const pending = this.#pendingRequests.get(message.ticket);
    if (pending?.dispatcher !== dispatcher) return;
    const { kind: reason, retryAfterMs } = message;
    pending.notify({ kind: RequestEventKind.Refused, reason, retryAfterMs });
  }

  #sendRelease(dispatcher: string, groupId: string, grantId: number, use: SlotUse): void {
    this.#sendReliably(dispatcher, { type: PeerMessageType.SlotRelease, groupId, grantId, ...use });
  }

  #sendReliably(dispatcher: string, message: PeerMessage): void {
    if (dispatcher === this.options.membership.self.incarnation) this.#sendLocally(message);
    else this.#outbox.send(dispatcher, message);
  }

  #sendLocally(message: PeerMessage): void {
    const { dispatcher, membership } = this.options;
    const { incarnation } = membership.self;
    if (message.type === PeerMessageType.SlotRequest) {
      const send = (reply: SlotGrantMessage | SlotRefusalMessage): boolean => {
        if (reply.type === PeerMessageType.SlotGrant) this.#handleGrant(incarnation, reply);
        else this.#handleRefusal(incarnation, reply);
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
    this.#outbox.pruneUnknownPeers();
    const { membership } = this.options;
    const dispatchers = new Set(
      [...this.#pendingRequests.values()].map(({ dispatcher }) => dispatcher),
    );
    dispatchers.delete(membership.self.incarnation);
    dispatchers.forEach((incarnation) => {
      const view = membership.findIncarnation(incarnation);
      if (!view || view.state === PeerState.Suspected) this.#notifyDispatcherLost(incarnation);
    });
  }

  #notifyDispatcherLost(incarnation: string): void {
    const event: RequestEvent = { kind: RequestEventKind.DispatcherLost };
    this.#pendingRequests.forEach(
      (pending) => pending.dispatcher === incarnation && pending.notify(event),
    );
  }
}
