/**
 * Admits calls that carry their own request ID and serves them at the entry host they reach.
 *
 * @module
 */
import { AnswerTimeEstimator, OutputEstimator } from '../../domain/direct/mod.js';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { computeRank, pickService } from '../../domain/routing/mod.js';
import type { StreamOrigin } from '../../domain/streams/mod.js';
import type { DirectReply, DirectRequest, PeerNetwork } from '../../ports/mod.js';
import { AccountUsageTable } from './_account_usage_table.js';
import { isTakeUp, TakeUps } from './_take_ups.js';
import { buildRetryElsewhereError, CallChecks } from './_call_checks.js';
import type { CallChecksOptions, CheckedCall } from './_call_checks.js';
import type { AccountSpending } from './account_spending.js';
import { FreedSlotForwarder } from './freed_slot_forwarder.js';
import type { ReportTimes } from './freed_slot_forwarder.js';
import { DirectCall } from './direct_call.js';
import type { CallAdapters, DirectServices } from './direct_services.js';
import { EarlyRejections } from './_early_rejections.js';
import { LazyMap } from './_lazy_map.js';
import { RecentCalls } from './_recent_calls.js';
import { recordRefusal } from './_refusal_log.js';
import { createRetryShares } from './_retry_shares.js';
import type { RetrySharesOptions } from './_retry_shares.js';
import { runGuarded } from './_run_guarded.js';
import type { ServerRegistry } from './server_registry.js';
import type { StreamServices } from './stream_services.js';
import { createServiceQueue } from './_create_service_queue.js';
import type { ServiceQueue } from './service_queue.js';
import { SlotLender } from './slot_lender.js';
import { WaitingNotices } from './waiting_notices.js';

/** Dependencies and limits of {@link DirectGateway}. */
export interface DirectGatewayOptions extends CallAdapters, CallChecksOptions, RetrySharesOptions {
  readonly streams: StreamServices;
  readonly peers: PeerNetwork;
  readonly servers: ServerRegistry;
  readonly spending: AccountSpending;
  readonly reportTimes: ReportTimes;
  /** Total time for which this process has waited for events; undefined: it ignores its lateness. */
  readonly measureIdleMs?: (() => number) | undefined;
  /** Whether waiting calls get slots by fair shares of their client accounts. Default: no. */
  readonly hasFairShares?: boolean | undefined;
}

/** A call that may be served. */
interface AdmittedCall {
  readonly checked: CheckedCall;
  readonly request: DirectRequest;
  readonly reply: DirectReply;
}

/** Where a call starts. */
interface CallStart {
  readonly serviceId: string | undefined;
  /** Where the stream began that the call takes up; undefined if it takes up none. */
  readonly origin?: StreamOrigin | undefined;
  /** Time for which the call has waited already, in milliseconds. */
  readonly waitedMs: number;
}

/** Checks and admits calls, and tracks the calls in progress. */
export class DirectGateway {
  readonly #options: DirectGatewayOptions;

  /** Slot time by account; undefined if slots are not divided by fair shares. */
  readonly accountUsage: AccountUsageTable | undefined;

  readonly #services: DirectServices;

  readonly #checks: CallChecks;

  /** Queues by service ID. */
  readonly #queues = new LazyMap((serviceId) => this.#createQueue(serviceId));

  readonly #freedSlotForwarder: FreedSlotForwarder;

  readonly #recentCalls: RecentCalls;

  readonly #waitingNotices: WaitingNotices;

  readonly #calls = new Set<DirectCall>();

  /** Calls of which it is not known yet where their stream began. */
  readonly #takeUps: TakeUps;

  /** Output estimators by route name. */
  readonly #outputEstimators = new LazyMap(() => new OutputEstimator());

  /** Times of answers against predictions by route name. */
  readonly #answerTimes = new LazyMap(() => new AnswerTimeEstimator());

  readonly #earlyRejections: EarlyRejections;

  #isRefusingNew = false;

  /** When the calls in progress are ended; Infinity: no stop has begun. */
  #callsEndAtMs = Infinity;

  /** @param options - dependencies and limits */
  constructor(options: DirectGatewayOptions) {
    this.#options = options;
    this.#checks = new CallChecks(options);
    this.#takeUps = new TakeUps(options);
    this.#earlyRejections = new EarlyRejections({ ...options, listCalls: () => this.#calls });
    this.#recentCalls = new RecentCalls(options.clock);
    if (options.hasFairShares)
      this.accountUsage = new AccountUsageTable({ ...options, peers: options.servers.peers });
    const { accountUsage } = this;
    const getEndAtMs = (): number => this.#callsEndAtMs;
    this.#services = { ...options, ...createRetryShares(options), accountUsage, getEndAtMs };
    const queues = {
      getFirstUrgency: (id: string) => this.#queues.get(id)?.firstPriority ?? Infinity,
      dispatchWaiting: (id: string) => this.#queues.get(id)?.dispatchWaiting(),
      isCalled: (id: string) => this.#recentCalls.has(id),
    };
    const lender = new SlotLender({ ...options, ...queues });
    this.#freedSlotForwarder = new FreedSlotForwarder({ ...options, ...queues, lender });
    this.#waitingNotices = new WaitingNotices({ ...options, onNotice: (id) => lender.offer(id) });
    options.servers.onRestart((endedId) => {
      [...this.#calls].forEach((call) => call.handleServerEnded(endedId));
    });
    options.crashes.onQuarantined((contentId) => {
      [...this.#calls].forEach((call) => call.handleQuarantine(contentId));
    });
  }

  /** Number of calls in progress. */
  get callCount(): number {
    return this.#calls.size + this.#takeUps.size;
  }

  /** Number of calls that wait for a slot. */
  get waitingCount(): number {
    return this.#queues.listEntries().reduce((sum, [, { size }]) => sum + size, 0);
  }

  /** @returns number of calls that wait for a slot, by service ID */
  countWaiting(): Record<string, number> {
    return Object.fromEntries(this.#listNonEmptyQueues().map(([id, { size }]) => [id, size]));
  }

  /** @returns urgency of the first waiting call, by service ID */
  listFirstWaiting(): Record<string, number> {
    const queues = this.#listNonEmptyQueues();
    return Object.fromEntries(queues.map(([id, { firstPriority }]) => [id, firstPriority]));
  }

  /** @returns 1 for each service that was called lately and has a server that names a limit */
  countCalling(): Record<string, number> {
    return this.#recentCalls.count(this.#options.servers.listLimitedServices());
  }

  #listNonEmptyQueues(): readonly (readonly [string, ServiceQueue])[] {
    return this.#queues.listEntries().filter(([, { size }]) => size > 0);
  }

  /** Whether callers may be sent to this entry host. */
  get isServing(): boolean {
    const { routing, maxKeyAgeMs } = this.#options;
    return routing.table !== undefined && routing.computeAgeMs() < maxKeyAgeMs;
  }

  /** @param atMs - when a stop ends calls, on the monotonic clock in milliseconds */
  setCallsEnd(atMs: number): void {
    this.#callsEndAtMs = atMs;
  }

  /** Refuses new calls from now on. Other entry hosts can serve them. */
  refuseNewCalls(): void {
    this.#isRefusingNew = true;
  }

  /** Ends all calls in progress. Each caller is told whether its request may have run. */
  stopAllCalls(): void {
    this.#takeUps.stop();
    [...this.#calls].forEach((call) => runGuarded(this.#options.log, () => call.stop()));
  }

  /** How late timers are because of this process's own work, in milliseconds. */
  get latenessMs(): number {
    return this.#earlyRejections.lateness.latenessMs;
  }

  /** Dispatches waiting calls to slots that have become free at other entry hosts. */
  dispatchWaiting(): void {
    this.#earlyRejections.lateness.sweepIfLate();
    this.#queues.listEntries().forEach(([, queue]) => queue.dispatchWaiting());
  }

  /**
   * Handles one call.
   *
   * @param request - the complete request
   * @param reply - the reply to the caller
   */
  handle(request: DirectRequest, reply: DirectReply): void {
    const waitedMs = this.#earlyRejections.lateness.recordCall() + (request.heldMs ?? 0);
    const rejection = this.#earlyRejections.findRejection(request);
    if (rejection) reply.sendError(rejection);
    else this.#try(request, reply, () => this.#startCall(request, reply, waitedMs));
  }

  #try(request: DirectRequest, reply: DirectReply, step: () => void): void {
    try {
      step();
    } catch (error) {
      this.#refuse(request, reply, error);
    }
  }

  #refuse(request: DirectRequest, reply: DirectReply, error: unknown): void {
    reply.sendError(recordRefusal(this.#options, request, error));
  }

  #startCall(request: DirectRequest, reply: DirectReply, readDelayMs: number): void {
    if (this.#isRefusingNew) throw buildRetryElsewhereError(ErrorKind.EntryHostStopping);
    const checked = this.#checks.check(request);
    const call = { checked, request, reply };
    if (!checked.route.isStream || !isTakeUp(request)) {
      const serviceId = pickService(checked.route, this.#options.random.nextFraction());
      this.#serve(call, { serviceId, waitedMs: readDelayMs });
      return;
    }
    this.#takeUps.start({
      ...call,
      onResolved: (origin, askedMs) => {
        const { serviceId } = origin;
        const start = { serviceId, origin, waitedMs: readDelayMs + askedMs };
        this.#try(request, reply, () => this.#serve(call, start));
      },
      onRefused: (error) => this.#refuse(request, reply, error),
    });
  }

  #serve({ checked, request, reply }: AdmittedCall, start: CallStart): void {
    const { table, route, account, contentId, details } = checked;
    const { serviceId } = start;
    if (serviceId === undefined) throw new SchedulerError(ErrorKind.NoBackendServer);
    this.#recentCalls.record(serviceId);
    if (account) {
      const retryAfterMs = this.#options.spending.take(account, request);
      if (retryAfterMs > 0) throw new SchedulerError(ErrorKind.TokensLimited, { retryAfterMs });
    }
    const call: DirectCall = new DirectCall({
      request,
      contentId,
      details,
      reply,
      route,
      serviceId,
      account,
      rank: computeRank(route, account),
      origin: start.origin,
      waitedMs: start.waitedMs,
      onBegin: (origin) => this.#takeUps.recordBegin(checked, request, origin),
      queue: this.#queues.getOrCreate(serviceId),
      outputEstimator: this.#outputEstimators.getOrCreate(route.name),
      answerTimes: this.#answerTimes.getOrCreate(route.name),
      tokensPerEvent: table.findService(serviceId)?.tokensPerEvent ?? 1,
      services: this.#services,
      findDispatchRefusal: () => this.#checks.findDispatchRefusal(checked, request),
      onEnd: () => {
        this.#calls.delete(call);
        this.#earlyRejections.lateness.sweepIfLate();
        if (account && !call.mayHaveRun) this.#options.spending.release(account, request);
      },
    });
    this.#calls.add(call);
    call.start();
  }

  #createQueue(serviceId: string): ServiceQueue {
    const queue: ServiceQueue = createServiceQueue(this.#options, {
      serviceId,
      fairOrder: this.accountUsage?.getOrder(serviceId),
      onWaiting: () => this.#waitingNotices.notifyPeers(serviceId, queue.summary),
      forwardFreedSlot: (serverId) => this.#freedSlotForwarder.forward(serverId),
    });
    return queue;
  }
}
