/**
 * The process that gets a slot for one wish.
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
import type { Slot, SlotWish } from '../views/mod.js';
import type { PendingWait, WaitEvent } from './_pending_wait.js';
import { WaitEventKind } from './_pending_wait.js';
import type { SlotClient } from './slot_client.js';

/**
 * Time after which an unanswered question is repeated, in milliseconds. A link
 * that was replaced may have swallowed the question or its answer without either
 * end being told; the request would wait until its deadline.
 */
const REPEAT_AFTER_MS = 3_000;

/** Most times that one wish is asked for in one group: dispatchers come and go, but not for ever. */
const MAX_QUESTIONS = 16;

/** Groups of a service that one wish tries before it is refused for lack of room. */
const MAX_GROUPS = 2;

/** Refusals that say something of one group only. */
const REFUSALS_OF_A_GROUP: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.TierClosed,
  ErrorKind.QueueFull,
  ErrorKind.DeadlineUnreachable,
  ErrorKind.NoBackendServer,
  ErrorKind.BackendServerRefused,
]);

/** How asking for a group ended. */
type Outcome = { readonly slot: Slot } | { readonly refusal: SchedulerError };

/** What is known of one wish while it waits. */
interface SlotSearch {
  readonly client: SlotClient;
  readonly wish: SlotWish;
  readonly startedAtMs: number;
  /** Backend servers that are out, by the wish or by what was seen since. */
  readonly excluded: Set<string>;
  /** Dispatchers that could not be reached. */
  readonly lost: Set<string>;
}

/**
 * Gets a slot: picks a group, asks its dispatcher, and goes on elsewhere when
 * the dispatcher is lost.
 *
 * @param client - the owner's side
 * @param wish - what the slot is for
 * @returns the slot
 * @throws SchedulerError that says `not_run`
 */
export function* acquireSlot(client: SlotClient, wish: SlotWish): Step<Slot> {
  const { clock, configuration, random } = client.options;
  const startedAtMs = clock.nowMs();
  const service = configuration.findService(wish.serviceId);
  const groups = service ? splitDispatchGroups(service) : [];
  checkOpen(client, wish, groups);
  const search: SlotSearch = {
    client,
    wish,
    startedAtMs,
    excluded: new Set(wish.excluded),
    lost: new Set(),
  };
  let left = groups;
  let refusal: SchedulerError | undefined;
  for (let tried = 0; tried < MAX_GROUPS; tried += 1) {
    const group = client.loads.pickGroup(left, wish, clock.nowMs(), random.nextFraction());
    if (!group) break;
    const outcome = yield* askGroup(search, group);
    if ('slot' in outcome) return outcome.slot;
    refusal = outcome.refusal;
    if (!REFUSALS_OF_A_GROUP.has(refusal.kind)) throw refusal;
    left = left.filter(({ id }) => id !== group.id);
  }
  throw refusal ?? new SchedulerError(ErrorKind.NoBackendServer);
}

/** In a service of several groups a tier is closed everywhere as soon as it is in one. */
function checkOpen(client: SlotClient, wish: SlotWish, groups: readonly DispatchGroup[]): void {
  const { clock, dispatcher, strategy } = client.options;
  if (groups.length < 2) return;
  client.loads.update(dispatcher.listGroupLoads(), clock.nowMs());
  if (!strategy.closesTiers) return;
  const closed = client.loads.findClosed(groups, wish.tier, clock.nowMs());
  if (!closed) return;
  throw new SchedulerError(ErrorKind.TierClosed, {
    message: `Cannot queue the request: tier ${TIER_NAMES[wish.tier]} is closed in ${closed.groupId}`,
  });
}

function* askGroup(search: SlotSearch, group: DispatchGroup): Step<Outcome> {
  for (let question = 0; question < MAX_QUESTIONS; question += 1) {
    checkWanted(search);
    const wait = search.client.openWait(group.id, pickDispatcher(search, group.id));
    const message = buildRequest(search, wait);
    if (!search.client.send(wait.dispatcher, message)) {
      noteLost(search, wait, false);
      continue;
    }
    const outcome = yield* waitForAnswer(search, wait, message);
    if (outcome) return outcome;
  }
  return { refusal: new SchedulerError(ErrorKind.EntryHostStopping) };
}

/** @returns undefined when the question should be put anew */
function* waitForAnswer(
  search: SlotSearch,
  wait: PendingWait,
  message: SlotRequestMessage,
): Step<Outcome | undefined> {
  const stopWatching = watchWish(search, wait);
  try {
    for (;;) {
      const event = yield* wait.events.take();
      if (event === CLOSED || event.kind === WaitEventKind.Ended) {
        search.client.closeWait(wait, true);
        checkWanted(search);
        return { refusal: new SchedulerError(ErrorKind.EntryHostStopping) };
      }
      if (event.kind !== WaitEventKind.Silence) return settleWait(search, wait, event);
      search.client.send(wait.dispatcher, message);
    }
  } finally {
    stopWatching();
  }
}

function settleWait(
  search: SlotSearch,
  wait: PendingWait,
  event: Exclude<WaitEvent, { kind: WaitEventKind.Ended | WaitEventKind.Silence }>,
): Outcome | undefined {
  if (event.kind === WaitEventKind.Granted) return acceptGrant(search, wait, event);
  if (event.kind === WaitEventKind.DispatcherLost) {
    noteLost(search, wait, true);
    return undefined;
  }
  search.client.closeWait(wait, false);
  // The dispatcher gave the queue up; its successor is asked with the time waited.
  if (event.reason === ErrorKind.EntryHostStopping) return undefined;
  const { reason, retryAfterMs } = event;
  return { refusal: new SchedulerError(reason, { retryAfterMs }) };
}

function acceptGrant(
  search: SlotSearch,
  wait: PendingWait,
  event: Extract<WaitEvent, { kind: WaitEventKind.Granted }>,
): Outcome | undefined {
  const { client, wish } = search;
  const { clock, configuration, membership, metrics } = client.options;
  const release = client.holdSlot(wait, event.grantId);
  const backendServer = configuration.findBackendServer(event.backendServerId);
  if (!backendServer || membership.isBackendServerLeaving(event.backendServerId)) {
    // This entry host knows more than the dispatcher did.
    release({ outcome: SlotOutcome.Unused, firstByteMs: 0, totalMs: 0, outputTokens: 0 });
    search.excluded.add(event.backendServerId);
    return undefined;
  }
  metrics.count('slot_grants_total', { tier: TIER_NAMES[wish.tier] });
  return { slot: { backendServer, validUntilMs: clock.nowMs() + event.validMs, release } };
}

/**
 * Picks whom to ask: the responsible entry host; the one that will be after it
 * if that one is lost; this entry host itself if it is the only one left. An
 * entry host that isn't responsible keeps to its fixed share of the windows.
 */
function pickDispatcher(search: SlotSearch, groupId: string): string {
  const { membership, strategy } = search.client.options;
  const { self } = membership;
  if (strategy.isLocal) return self.incarnation;
  const responsible = membership.pickResponsible(groupId).incarnation;
  if (!search.lost.has(responsible)) return responsible;
  const reachable = membership
    .listEntryHosts()
    .filter(({ state }) => state === PeerState.Live)
    .map(({ identity }) => identity.incarnation)
    .filter((incarnation) => !search.lost.has(incarnation));
  return pickByRendezvous(groupId, reachable) ?? self.incarnation;
}

function noteLost(search: SlotSearch, wait: PendingWait, mustTell: boolean): void {
  const { log, membership, metrics } = search.client.options;
  search.client.closeWait(wait, mustTell);
  if (wait.dispatcher !== membership.self.incarnation) search.lost.add(wait.dispatcher);
  metrics.count('dispatcher_losses_total');
  log.write(LogLevel.Info, 'dispatcher_lost', {
    requestId: search.wish.requestId,
    account: search.wish.accountId,
    group: wait.groupId,
    dispatcher: wait.dispatcher,
  });
}

/** Throws when nobody wants the slot any more. */
function checkWanted({ client, wish }: SlotSearch): void {
  if (wish.signal.aborted) throw new SchedulerError(ErrorKind.Cancelled);
  if (client.options.clock.nowMs() >= wish.deadlineAtMs)
    throw new SchedulerError(ErrorKind.DeadlineExpired);
}

/** Tells the wait of the wish's end and of silence. */
function watchWish({ client, wish }: SlotSearch, wait: PendingWait): () => void {
  const { clock } = client.options;
  const end = (): void => {
    wait.notify({ kind: WaitEventKind.Ended });
  };
  let silence: Timer | undefined;
  const watchSilence = (): void => {
    silence = clock.setTimer(REPEAT_AFTER_MS, () => {
      wait.notify({ kind: WaitEventKind.Silence });
      watchSilence();
    });
  };
  const deadline = clock.setTimer(wish.deadlineAtMs - clock.nowMs(), end);
  watchSilence();
  wish.signal.addEventListener('abort', end, { once: true });
  return () => {
    deadline.cancel();
    silence?.cancel();
    wish.signal.removeEventListener('abort', end);
  };
}

function buildRequest(search: SlotSearch, wait: PendingWait): SlotRequestMessage {
  const { client, wish, startedAtMs } = search;
  const nowMs = client.options.clock.nowMs();
  return {
    type: PeerMessageType.SlotRequest,
    ticket: wait.ticket,
    groupId: wait.groupId,
    accountId: wish.accountId,
    weight: wish.weight,
    tier: wish.tier,
    remainingMs: wish.deadlineAtMs - nowMs,
    waitedMs: nowMs - startedAtMs,
    promptTokens: wish.promptTokens,
    expectedOutputTokens: wish.expectedOutputTokens,
    blockHashes: wish.blockHashes,
    excluded: [...search.excluded],
  };
}
