/**
 * Queues owners' slot requests and grants slots.
 *
 * @module
 */
import { ErrorKind, LogLevel } from '../../domain/errors/mod.js';
import { DecisionKind, TIERS } from '../../domain/scheduling/mod.js';
import type { Decision, GrantDecision, RefusalDecision } from '../../domain/scheduling/mod.js';
import { PeerMessageType, SlotOutcome } from '../../ports/mod.js';
import type { GroupLoad, SlotReleaseMessage, SlotRequestMessage } from '../../ports/mod.js';
import { buildDemand, buildRefusal, formatRequestKey, toSlotResult } from './_slot_messages.js';
import type { DispatcherOptions } from './dispatcher_options.js';
import { Grant, GrantTable } from './_grant_table.js';
import { GroupRegistry } from './_group_registry.js';
import { GroupMonitor } from './_group_monitor.js';
import type { HostedGroup } from './_hosted_group.js';
import { findExpiredGrants } from './_expired_grants.js';
import { IntervalTimers } from './_interval_timers.js';
import { buildQueueReport } from './queue_report.js';
import type { QueueReport } from './queue_report.js';
import { ServerPoller } from './_server_poller.js';
import { computeSiblingOpenTiers, GROUP_LOAD_TTL_MS } from './_sibling_tiers.js';
import type { SlotRequester } from './slot_requester.js';

/** Interval of the time-driven work (reclaiming, hand-off, dispatching), in milliseconds. */
const TICK_INTERVAL_MS = 100;

/** Interval at which backend servers are polled for their reports, in milliseconds. */
const POLL_INTERVAL_MS = 1_000;

/** Time within which the owner must hand its request over after the grant, in milliseconds. */
export const GRANT_VALID_MS = 2_000;

/** An owner's slot request that waits in a group's queue. */
interface QueuedRequest {
  readonly requester: SlotRequester;
  readonly ticket: number;
  readonly groupId: string;
}

/** Grants slots on the backend servers of the dispatch groups that this entry host hosts. */
export class DispatcherService {
  readonly #options: DispatcherOptions;

  readonly #groups: GroupRegistry;

  /** Queued requests by request key. */
  readonly #queuedRequests = new Map<string, QueuedRequest>();

  readonly #grants = new GrantTable();

  readonly #poller: ServerPoller;

  readonly #timers: IntervalTimers;

  readonly #monitor: GroupMonitor;

  /** @param options - options of the service */
  constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#groups = new GroupRegistry(options);
    this.#poller = new ServerPoller(options);
    this.#timers = new IntervalTimers(options.clock);
    this.#monitor = new GroupMonitor(options.log, options.metrics);
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
    peers.onLinkChange(({ peer, up }) => up || this.#cancelRequestsOf(peer.incarnation));
    membership.onChange(() => this.#dispatchAll());
    configuration.onChange(() => this.#dispatchAll());
  }

  /** Starts the timers. */
  start(): void {
    this.#timers.start(TICK_INTERVAL_MS, () => this.#tick());
    this.#timers.start(POLL_INTERVAL_MS, () => this.#poll());
  }

  /** Stops the timers and hands off all queued requests to other dispatchers. */
  stop(): void {
    this.#timers.stop();
    this.#groups.list().forEach((group) => this.#handOff(group));
  }

  /**
   * Handles a slot request, which gets one grant or one refusal. A resent request
   * whose grant may have been lost gets the same grant again.
   *
   * @param requester - the owner that requests the slot
   * @param message - the request
   */
  handleRequest(requester: SlotRequester, message: SlotRequestMessage): void {
    const key = formatRequestKey(requester.incarnation, message.ticket);
    if (this.#queuedRequests.has(key)) return;
    const grant = this.#grants.findByRequestKey(key);
    if (grant) {
      this.#sendGrant(grant);
      return;
    }
    const group = this.#groups.open(message.groupId);
    if (!group) {
      const kind = ErrorKind.NoBackendServer;
      requester.send(buildRefusal(message.ticket, kind, TICK_INTERVAL_MS));
      return;
    }
    this.#queuedRequests.set(key, { requester, ticket: message.ticket, groupId: group.id });
    const nowMs = this.#options.clock.nowMs();
    this.#applyDecisions(group, group.scheduler.submit(buildDemand(key, message, nowMs), nowMs));
    this.#dispatchGroup(group);
  }

  /**
   * Cancels a slot request. A slot that was already granted for it is released as unused.
   *
   * @param incarnation - the owner's incarnation
   * @param ticket - the owner's ticket for the request
   */
  handleCancel(incarnation: string, ticket: number): void {
    const key = formatRequestKey(incarnation, ticket);
    const queued = this.#queuedRequests.get(key);
    this.#queuedRequests.delete(key);
    if (queued) this.#groups.find(queued.groupId)?.scheduler.cancel(key);
    const grant = this.#grants.findByRequestKey(key);
    if (grant) this.#release(grant, SlotOutcome.Unused);
  }

  /** Releases a slot. @param incarnation - its owner. @param message - the grant and its use */
  handleRelease(incarnation: string, message: SlotReleaseMessage): void {
    const grant = this.#grants.find(message.groupId, message.grantId);
    if (grant?.fields.requester.incarnation === incarnation)
      this.#release(grant, message.outcome, message);
  }

  /**
   * Applies the loads that other dispatchers report, so that a tier that is closed in
   * one group of a service is closed in all of them.
   *
   * @param loads - the newest known load of each group
   */
  updateGroupLoads(loads: readonly GroupLoad[]): void {
    const nowMs = this.#options.clock.nowMs();
    const knownLoads = [...loads, ...this.listGroupLoads()];
    computeSiblingOpenTiers(
      knownLoads,
      this.#groups.list().map(({ id }) => id),
    ).forEach((openTier, groupId) => {
      const group = this.#groups.find(groupId);
      if (!group) return;
      const validUntilMs = nowMs + GROUP_LOAD_TTL_MS;
      this.#applyDecisions(group, group.scheduler.applySiblingTier(openTier, validUntilMs, nowMs));
    });
  }

  /** @returns loads of the groups for which this entry host is responsible, for heartbeats */
  listGroupLoads(): GroupLoad[] {
    const nowMs = this.#options.clock.nowMs();
    return this.#groups
      .list()
      .filter((group) => !this.#options.strategy.isLocal && group.isResponsible)
      .map(({ id, scheduler }) => ({
        groupId: id,
        waitMs: TIERS.map((tier) => Math.round(scheduler.predictTierWaitMs(tier, nowMs))),
        openTier: scheduler.openTier,
      }));
  }

  /** @returns a report for operators on each hosted group */
  listQueues(): QueueReport[] {
    const nowMs = this.#options.clock.nowMs();
    return this.#groups
      .list()
      .map((group) => buildQueueReport(group, this.#options.strategy, nowMs));
  }

  #dispatchGroup(group: HostedGroup): void {
    group.update();
    // While the process was paused, responsibility and draining may have changed.
    if (!this.#options.membership.isFresh()) return;
    this.#applyDecisions(group, group.scheduler.run(this.#options.clock.nowMs()));
  }

  #dispatchAll(): void {
    this.#groups.list().forEach((group) => this.#dispatchGroup(group));
  }

  #applyDecisions(group: HostedGroup, decisions: readonly Decision[]): void {
    decisions.forEach((decision) => {
      const queued = this.#queuedRequests.get(decision.demand.key);
      this.#queuedRequests.delete(decision.demand.key);
      if (decision.kind === DecisionKind.Refusal) this.#refuse(decision, queued);
      else this.#grant(group, decision, queued);
    });
  }

  #refuse({ reason, retryAfterMs }: RefusalDecision, queued: QueuedRequest | undefined): void {
    queued?.requester.send(buildRefusal(queued.ticket, reason, retryAfterMs));
  }

  #grant(
    group: HostedGroup,
    { demand, grantId, backendServerId }: GrantDecision,
    queued: QueuedRequest | undefined,
  ): void {
    const nowMs = this.#options.clock.nowMs();
    if (!queued) {
      group.scheduler.release(grantId, toSlotResult(SlotOutcome.Unused), nowMs);
      return;
    }
    const grant = new Grant({
      ...queued,
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
    this.#dispatchGroup(group);
  }

  /** Cancels the queued requests of an owner whose link is down; the owner fails over. */
  #cancelRequestsOf(incarnation: string): void {
    [...this.#queuedRequests]
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
      .filter((group) => group.updateAssignment(nowMs))
      .forEach((group) => this.#handOff(group));
    this.#dispatchAll();
    this.#groups.list().forEach((group) => this.#monitor.logChanges(group, nowMs));
  }

  /** Refuses all queued requests, so that their owners send them to the group's new dispatcher. */
  #handOff(group: HostedGroup): void {
    const retryAfterMs = TICK_INTERVAL_MS;
    const refusals = group.scheduler.drainWaiting().map((demand): RefusalDecision => ({
      kind: DecisionKind.Refusal,
      demand,
      reason: ErrorKind.EntryHostStopping,
      retryAfterMs,
    }));
    this.#applyDecisions(group, refusals);
  }

  #poll(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#groups.prune();
    this.#groups.list().forEach((group) => this.#monitor.setGauges(group, nowMs));
    this.#groups.openAssigned().forEach((group) => {
      this.#poller.run(group).catch(() => undefined);
    });
  }
}
