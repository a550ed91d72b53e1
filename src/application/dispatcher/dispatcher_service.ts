/**
 * The dispatcher's side: queues owners' requests for slots and grants them.
 *
 * @module
 */
import { ErrorKind, LogLevel } from '../../domain/errors/mod.js';
import { DecisionKind, TIERS } from '../../domain/scheduling/mod.js';
import type { Decision, GrantDecision, RefusalDecision } from '../../domain/scheduling/mod.js';
import { PeerMessageType, SlotOutcome } from '../../ports/mod.js';
import type { GroupLoad, SlotReleaseMessage, SlotRequestMessage } from '../../ports/mod.js';
import { buildDemand, buildRefusal, formatKey, toSlotResult } from './_demands.js';
import type { DispatcherOptions } from './dispatcher_options.js';
import { Grant, GrantBook } from './_grant_book.js';
import { GroupRegistry } from './_group_registry.js';
import { GroupWatch } from './_group_watch.js';
import type { HeldGroup } from './_held_group.js';
import { findExpiredGrants } from './_reclaim.js';
import { RepeatedTimers } from './_repeated_timers.js';
import { buildQueueReport } from './queue_report.js';
import type { QueueReport } from './queue_report.js';
import { ServerPoller } from './_server_poller.js';
import { computeSiblingTiers, SIBLING_VALID_MS } from './_sibling_tiers.js';
import type { SlotRequester } from './slot_requester.js';

/** How often everything that is due by time is done, in milliseconds. */
const TICK_MS = 100;

/** How often backend servers are asked for their reports, in milliseconds. */
const POLL_MS = 1_000;

/** Time that a granted slot may wait for its hand-over, in milliseconds. */
export const GRANT_VALID_MS = 2_000;

/** One owner's wait in a queue. */
interface Wait {
  readonly requester: SlotRequester;
  readonly ticket: number;
  readonly groupId: string;
}

/** Grants slots on the backend servers of the groups that this entry host holds. */
export class DispatcherService {
  readonly #options: DispatcherOptions;

  readonly #groups: GroupRegistry;

  /** Who asked, by wait. */
  readonly #waits = new Map<string, Wait>();

  readonly #grants = new GrantBook();

  readonly #poller: ServerPoller;

  readonly #timers: RepeatedTimers;

  readonly #watch: GroupWatch;

  /** @param options - what it is built from */
  constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#groups = new GroupRegistry(options);
    this.#poller = new ServerPoller(options);
    this.#timers = new RepeatedTimers(options.clock);
    this.#watch = new GroupWatch(options.log, options.metrics);
    const { peers, membership, configuration } = options;
    peers.handle(PeerMessageType.SlotRequest, ({ incarnation }, message) =>
      this.handleRequest(
        { incarnation, send: (answer) => peers.send(incarnation, answer) },
        message,
      ),
    );
    peers.handle(PeerMessageType.SlotCancel, ({ incarnation }, { ticket }) =>
      this.handleCancel(incarnation, ticket),
    );
    peers.handle(PeerMessageType.SlotRelease, ({ incarnation }, message) =>
      this.handleRelease(incarnation, message),
    );
    peers.onLink(({ peer, up }) => up || this.#cancelWaits(peer.incarnation));
    membership.onChange(() => this.#runAll());
    configuration.onChange(() => this.#runAll());
  }

  /** Starts the timers. */
  start(): void {
    this.#timers.start(TICK_MS, () => this.#tick());
    this.#timers.start(POLL_MS, () => this.#poll());
  }

  /** Stops the timers and sends everything that waits on to other dispatchers. */
  stop(): void {
    this.#timers.stop();
    this.#groups.list().forEach((group) => this.#handBack(group));
  }

  /**
   * Takes in a request for a slot. It is answered by one grant or one refusal. A
   * repeated one, whose answer may have been lost, is answered again.
   *
   * @param requester - who asks
   * @param message - the request
   */
  handleRequest(requester: SlotRequester, message: SlotRequestMessage): void {
    const key = formatKey(requester.incarnation, message.ticket);
    if (this.#waits.has(key)) return;
    const grant = this.#grants.findByKey(key);
    if (grant) {
      this.#sendGrant(grant);
      return;
    }
    const group = this.#groups.open(message.groupId);
    if (!group) {
      const kind = ErrorKind.NoBackendServer;
      requester.send(buildRefusal(message.ticket, kind, TICK_MS));
      return;
    }
    this.#waits.set(key, { requester, ticket: message.ticket, groupId: group.id });
    const nowMs = this.#options.clock.nowMs();
    this.#apply(group, group.scheduler.submit(buildDemand(key, message, nowMs), nowMs));
    this.#run(group);
  }

  /**
   * Ends a wait. A slot that was granted meanwhile counts as unused.
   *
   * @param incarnation - whose wait
   * @param ticket - which one
   */
  handleCancel(incarnation: string, ticket: number): void {
    const key = formatKey(incarnation, ticket);
    const wait = this.#waits.get(key);
    this.#waits.delete(key);
    if (wait) this.#groups.find(wait.groupId)?.scheduler.cancel(key);
    const grant = this.#grants.findByKey(key);
    if (grant) this.#release(grant, SlotOutcome.Unused);
  }

  /**
   * Takes a slot back.
   *
   * @param incarnation - the owner that held it
   * @param message - which one, and how it was used
   */
  handleRelease(incarnation: string, message: SlotReleaseMessage): void {
    const grant = this.#grants.find(message.groupId, message.grantId);
    if (grant?.fields.requester.incarnation === incarnation)
      this.#release(grant, message.outcome, message);
  }

  /**
   * Takes in what other dispatchers say of their groups, so that a tier closes in
   * all groups of a service.
   *
   * @param loads - the newest known load of every group
   */
  noteGroupLoads(loads: readonly GroupLoad[]): void {
    const nowMs = this.#options.clock.nowMs();
    const known = [...loads, ...this.listGroupLoads()];
    computeSiblingTiers(
      known,
      this.#groups.list().map(({ id }) => id),
    ).forEach((openTier, groupId) => {
      const group = this.#groups.find(groupId);
      if (!group) return;
      const untilMs = nowMs + SIBLING_VALID_MS;
      this.#apply(group, group.scheduler.noteSiblings(openTier, untilMs, nowMs));
    });
  }

  /** @returns loads of the groups that this entry host is responsible for, for heartbeats */
  listGroupLoads(): GroupLoad[] {
    const nowMs = this.#options.clock.nowMs();
    return this.#groups
      .list()
      .filter((group) => !this.#options.strategy.isLocal && group.isResponsible)
      .map(({ id, scheduler }) => ({
        groupId: id,
        waitMs: TIERS.map((tier) => Math.round(scheduler.predictTierWait(tier, nowMs))),
        openTier: scheduler.openTier,
      }));
  }

  /** @returns every group that is dispatched from here, for operators */
  listQueues(): QueueReport[] {
    const nowMs = this.#options.clock.nowMs();
    return this.#groups
      .list()
      .map((group) => buildQueueReport(group, this.#options.strategy, nowMs));
  }

  #run(group: HeldGroup): void {
    group.update();
    // After a pause, who is responsible and who leaves may have changed unseen.
    if (!this.#options.membership.isFresh()) return;
    this.#apply(group, group.scheduler.run(this.#options.clock.nowMs()));
  }

  #runAll(): void {
    this.#groups.list().forEach((group) => this.#run(group));
  }

  #apply(group: HeldGroup, decisions: readonly Decision[]): void {
    decisions.forEach((decision) => {
      const waiting = this.#waits.get(decision.demand.key);
      this.#waits.delete(decision.demand.key);
      if (decision.kind === DecisionKind.Refusal) this.#refuse(decision, waiting);
      else this.#grant(group, decision, waiting);
    });
  }

  #refuse({ reason, retryAfterMs }: RefusalDecision, waiting: Wait | undefined): void {
    waiting?.requester.send(buildRefusal(waiting.ticket, reason, retryAfterMs));
  }

  #grant(
    group: HeldGroup,
    { demand, grantId, backendServerId }: GrantDecision,
    waiting: Wait | undefined,
  ): void {
    const nowMs = this.#options.clock.nowMs();
    if (!waiting) {
      group.scheduler.release(grantId, toSlotResult(SlotOutcome.Unused), nowMs);
      return;
    }
    const grant = new Grant({
      ...waiting,
      key: demand.key,
      groupId: group.id,
      grantId,
      backendServerId,
      validUntilMs: nowMs + GRANT_VALID_MS,
      deadlineAtMs: demand.deadlineAtMs,
    });
    this.#grants.add(grant);
    if (!this.#sendGrant(grant)) this.#release(grant, SlotOutcome.Unused);
  }

  #sendGrant({ fields }: Grant): boolean {
    const { requester, ticket, grantId, backendServerId, validUntilMs } = fields;
    const validMs = Math.max(0, validUntilMs - this.#options.clock.nowMs());
    const type = PeerMessageType.SlotGrant as const;
    return requester.send({ type, ticket, grantId, backendServerId, validMs });
  }

  #release(grant: Grant, outcome: SlotOutcome, message?: SlotReleaseMessage): void {
    this.#grants.remove(grant);
    const { groupId, grantId } = grant.fields;
    const group = this.#groups.find(groupId);
    if (!group) return;
    const result = toSlotResult(outcome, message);
    group.scheduler.release(grantId, result, this.#options.clock.nowMs());
    this.#run(group);
  }

  /** An owner whose link is gone can't be granted anything; it asks elsewhere. */
  #cancelWaits(incarnation: string): void {
    [...this.#waits]
      .filter(([, { requester }]) => requester.incarnation === incarnation)
      .forEach(([, { ticket }]) => this.handleCancel(incarnation, ticket));
  }

  #tick(): void {
    const { clock, membership, log } = this.#options;
    const nowMs = clock.nowMs();
    findExpiredGrants(this.#grants.list(), membership, nowMs).forEach((grant) => {
      log.write(LogLevel.Warn, 'slot_reclaimed', {
        group: grant.fields.groupId,
        backendServer: grant.fields.backendServerId,
        owner: grant.fields.requester.incarnation,
      });
      this.#release(grant, SlotOutcome.Cancelled);
    });
    this.#groups
      .list()
      .filter((group) => group.updateResponsibility(nowMs))
      .forEach((group) => this.#handBack(group));
    this.#runAll();
    this.#groups.list().forEach((group) => this.#watch.note(group, nowMs));
  }

  /** Sends waiting requests back to their owners, which ask the group's new dispatcher. */
  #handBack(group: HeldGroup): void {
    const retryAfterMs = TICK_MS;
    const refusals = group.scheduler.drainWaiting().map((demand): RefusalDecision => ({
      kind: DecisionKind.Refusal,
      demand,
      reason: ErrorKind.EntryHostStopping,
      retryAfterMs,
    }));
    this.#apply(group, refusals);
  }

  #poll(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#groups.prune();
    this.#groups.list().forEach((group) => this.#watch.record(group, nowMs));
    this.#groups.openOwn().forEach((group) => {
      this.#poller.run(group).catch(() => undefined);
    });
  }
}
