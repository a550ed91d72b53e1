/**
 * Acquires a slot for one request: selects a dispatch group, sends the request
 * to its dispatcher, and fails over when the dispatcher is lost.
 *
 * @module
 */
import { ErrorKind, LogLevel, SchedulerError } from '../../domain/errors/mod.js';
import { PeerState, pickByRendezvous } from '../../domain/membership/mod.js';
import { splitDispatchGroups, TIER_NAMES } from '../../domain/scheduling/mod.js';
import type { DispatchGroup } from '../../domain/scheduling/mod.js';
import { PeerMessageType, SlotOutcome } from '../../ports/mod.js';
import type { SlotRequestMessage, Timer } from '../../ports/mod.js';
import { CLOSED } from '../channels/mod.js';
import type { Step } from '../channels/mod.js';
import type { Slot, SlotRequest } from '../views/mod.js';
import type { PendingRequest, RequestEvent } from './_pending_request.js';
import { RequestEventKind } from './_pending_request.js';
import type { SlotClient } from './slot_client.js';

/**
 * Interval at which an unanswered slot request is sent again, in milliseconds.
 * When a link is replaced, the request or its reply may be lost without an error
 * at either end; without a resend the request would wait until its deadline.
 */
const RESEND_INTERVAL_MS = 3_000;

/**
 * Maximum slot requests sent for one acquisition in one group. It bounds the loop
 * when dispatchers change again and again.
 */
const MAX_REQUESTS_PER_GROUP = 16;

/** Maximum groups of a service that one acquisition tries before it is refused. */
const MAX_GROUPS_PER_ACQUISITION = 2;

/** Refusals that apply to one group only, so that another group may still grant a slot. */
const GROUP_SPECIFIC_REFUSALS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.TierClosed,
  ErrorKind.QueueFull,
  ErrorKind.DeadlineUnreachable,
  ErrorKind.NoBackendServer,
  ErrorKind.BackendServerRefused,
]);

/** Result of requesting a slot from one group. */
type GroupOutcome = { readonly slot: Slot } | { readonly refusal: SchedulerError };

/** State of one acquisition. */
interface SlotAcquisition {
  readonly client: SlotClient;
  readonly request: SlotRequest;
  readonly startedAtMs: number;
  /**
   * Backend servers that must not be used: those that the request excludes, and
   * those that this entry host rejected after a grant.
   */
  readonly excluded: Set<string>;
  /** Incarnations of the dispatchers that could not be reached. */
  readonly lost: Set<string>;
}

/**
 * Acquires a slot: picks a group, sends the request to its dispatcher, and fails
 * over to the next dispatcher or group when needed.
 *
 * @param client - the owner's slot client
 * @param request - what the slot is for
 * @returns the slot
 * @throws SchedulerError with run outcome `not_run`
 */
export function* acquireSlot(client: SlotClient, request: SlotRequest): Step<Slot> {
  const { clock, configuration, random } = client.options;
  const startedAtMs = clock.nowMs();
  const service = configuration.findService(request.serviceId);
  const groups = service ? splitDispatchGroups(service) : [];
  checkTierOpen(client, request, groups);
  const acquisition: SlotAcquisition = {
    client,
    request,
    startedAtMs,
    excluded: new Set(request.excluded),
    lost: new Set(),
  };
  let remainingGroups = groups;
  let refusal: SchedulerError | undefined;
  for (let triedGroups = 0; triedGroups < MAX_GROUPS_PER_ACQUISITION; triedGroups += 1) {
    const group = client.groupLoads.pickGroup(
      remainingGroups,
      request,
      clock.nowMs(),
      random.nextFraction(),
    );
    if (!group) break;
    const outcome = yield* requestFromGroup(acquisition, group);
    if ('slot' in outcome) return outcome.slot;
    refusal = outcome.refusal;
    if (!GROUP_SPECIFIC_REFUSALS.has(refusal.kind)) throw refusal;
    remainingGroups = remainingGroups.filter(({ id }) => id !== group.id);
  }
  throw refusal ?? new SchedulerError(ErrorKind.NoBackendServer);
}

/**
 * Throws if the request's tier is closed in any group of a service with several groups: a
 * tier that is closed in one group counts as closed in all of them.
 */
function checkTierOpen(
  client: SlotClient,
  request: SlotRequest,
  groups: readonly DispatchGroup[],
): void {
  const { clock, dispatcher, strategy } = client.options;
  if (groups.length < 2) return;
  client.groupLoads.update(dispatcher.listGroupLoads(), clock.nowMs());
  if (!strategy.closesTiers) return;
  const closedLoad = client.groupLoads.findClosedGroup(groups, request.tier, clock.nowMs());
  if (!closedLoad) return;
  throw new SchedulerError(ErrorKind.TierClosed, {
    message: `Cannot queue the request: tier ${TIER_NAMES[request.tier]} is closed in ${closedLoad.groupId}`,
  });
}

function* requestFromGroup(acquisition: SlotAcquisition, group: DispatchGroup): Step<GroupOutcome> {
  for (let sentRequests = 0; sentRequests < MAX_REQUESTS_PER_GROUP; sentRequests += 1) {
    checkNotAborted(acquisition);
    const pending = acquisition.client.openRequest(group.id, pickDispatcher(acquisition, group.id));
    const message = buildRequestMessage(acquisition, pending);
    if (!acquisition.client.send(pending.dispatcher, message)) {
      recordDispatcherLoss(acquisition, pending, false);
      continue;
    }
    const outcome = yield* waitForOutcome(acquisition, pending, message);
    if (outcome) return outcome;
  }
  return { refusal: new SchedulerError(ErrorKind.EntryHostStopping) };
}

/** @returns the outcome; undefined when a new request should be sent */
function* waitForOutcome(
  acquisition: SlotAcquisition,
  pending: PendingRequest,
  message: SlotRequestMessage,
): Step<GroupOutcome | undefined> {
  const stopWatching = watchRequest(acquisition, pending);
  try {
    for (;;) {
      const event = yield* pending.events.take();
      if (event === CLOSED || event.kind === RequestEventKind.Aborted) {
        acquisition.client.closeRequest(pending, true);
        checkNotAborted(acquisition);
        return { refusal: new SchedulerError(ErrorKind.EntryHostStopping) };
      }
      if (event.kind !== RequestEventKind.ResendDue)
        return handleEvent(acquisition, pending, event);
      acquisition.client.send(pending.dispatcher, message);
    }
  } finally {
    stopWatching();
  }
}

function handleEvent(
  acquisition: SlotAcquisition,
  pending: PendingRequest,
  event: Exclude<RequestEvent, { kind: RequestEventKind.Aborted | RequestEventKind.ResendDue }>,
): GroupOutcome | undefined {
  if (event.kind === RequestEventKind.Granted) return acceptGrant(acquisition, pending, event);
  if (event.kind === RequestEventKind.DispatcherLost) {
    recordDispatcherLoss(acquisition, pending, true);
    return undefined;
  }
  acquisition.client.closeRequest(pending, false);
  // The dispatcher handed off its queue. The next request goes to its successor and
  // carries the time waited so far.
  if (event.reason === ErrorKind.EntryHostStopping) return undefined;
  const { reason, retryAfterMs } = event;
  return { refusal: new SchedulerError(reason, { retryAfterMs }) };
}

function acceptGrant(
  acquisition: SlotAcquisition,
  pending: PendingRequest,
  event: Extract<RequestEvent, { kind: RequestEventKind.Granted }>,
): GroupOutcome | undefined {
  const { client, request } = acquisition;
  const { clock, configuration, membership, metrics } = client.options;
  const release = client.holdSlot(pending, event.grantId);
  const backendServer = configuration.findBackendServer(event.backendServerId);
  if (!backendServer || membership.isBackendServerLeaving(event.backendServerId)) {
    // This entry host's view is newer than the dispatcher's: the backend server has
    // been removed from the configuration or is draining.
    release({ outcome: SlotOutcome.Unused, firstByteMs: 0, totalMs: 0, outputTokens: 0 });
    acquisition.excluded.add(event.backendServerId);
    return undefined;
  }
  metrics.count('slot_grants_total', { tier: TIER_NAMES[request.tier] });
  return { slot: { backendServer, validUntilMs: clock.nowMs() + event.validMs, release } };
}

/**
 * Picks the dispatcher for a group: the responsible entry host; if that one is
 * lost, the next reachable one by rendezvous hashing; if none is left, this entry
 * host. A dispatcher that isn't responsible uses only its fixed share of the windows.
 *
 * @returns the incarnation of the dispatcher
 */
function pickDispatcher(acquisition: SlotAcquisition, groupId: string): string {
  const { membership, strategy } = acquisition.client.options;
  const { self } = membership;
  if (strategy.isLocal) return self.incarnation;
  const responsible = membership.pickResponsible(groupId).incarnation;
  if (!acquisition.lost.has(responsible)) return responsible;
  const reachable = membership
    .listEntryHosts()
    .filter(({ state }) => state === PeerState.Live)
    .map(({ identity }) => identity.incarnation)
    .filter((incarnation) => !acquisition.lost.has(incarnation));
  return pickByRendezvous(groupId, reachable) ?? self.incarnation;
}

function recordDispatcherLoss(
  acquisition: SlotAcquisition,
  pending: PendingRequest,
  mustCancel: boolean,
): void {
  const { log, membership, metrics } = acquisition.client.options;
  acquisition.client.closeRequest(pending, mustCancel);
  if (pending.dispatcher !== membership.self.incarnation) acquisition.lost.add(pending.dispatcher);
  metrics.count('dispatcher_losses_total');
  log.write(LogLevel.Info, 'dispatcher_lost', {
    requestId: acquisition.request.requestId,
    account: acquisition.request.accountId,
    group: pending.groupId,
    dispatcher: pending.dispatcher,
  });
}

/** Throws when the caller has cancelled the request or its deadline has passed. */
function checkNotAborted({ client, request }: SlotAcquisition): void {
  if (request.signal.aborted) throw new SchedulerError(ErrorKind.Cancelled);
  if (client.options.clock.nowMs() >= request.deadlineAtMs)
    throw new SchedulerError(ErrorKind.DeadlineExpired);
}

/**
 * Notifies the pending request when the caller aborts, when the deadline passes,
 * and whenever a resend is due.
 *
 * @returns a function that stops the notifications
 */
function watchRequest({ client, request }: SlotAcquisition, pending: PendingRequest): () => void {
  const { clock } = client.options;
  const abort = (): void => {
    pending.notify({ kind: RequestEventKind.Aborted });
  };
  let resendTimer: Timer | undefined;
  const startResendTimer = (): void => {
    resendTimer = clock.setTimer(RESEND_INTERVAL_MS, () => {
      pending.notify({ kind: RequestEventKind.ResendDue });
      startResendTimer();
    });
  };
  const deadlineTimer = clock.setTimer(request.deadlineAtMs - clock.nowMs(), abort);
  startResendTimer();
  request.signal.addEventListener('abort', abort, { once: true });
  return () => {
    deadlineTimer.cancel();
    resendTimer?.cancel();
    request.signal.removeEventListener('abort', abort);
  };
}

function buildRequestMessage(
  acquisition: SlotAcquisition,
  pending: PendingRequest,
): SlotRequestMessage {
  const { client, request, startedAtMs } = acquisition;
  const nowMs = client.options.clock.nowMs();
  return {
    type: PeerMessageType.SlotRequest,
    ticket: pending.ticket,
    groupId: pending.groupId,
    accountId: request.accountId,
    weight: request.weight,
    tier: request.tier,
    remainingMs: request.deadlineAtMs - nowMs,
    waitedMs: nowMs - startedAtMs,
    promptTokens: request.promptTokens,
    expectedOutputTokens: request.expectedOutputTokens,
    blockHashes: request.blockHashes,
    excluded: [...acquisition.excluded],
  };
}
