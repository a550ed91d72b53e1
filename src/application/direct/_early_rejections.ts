/**
 * Rejects new calls while this host runs late, before they cost more.
 *
 * @module
 */
import { computeRejectedFraction, GateChange } from '../../domain/direct/mod.js';
import { ErrorKind, LogLevel, SchedulerError } from '../../domain/errors/mod.js';
import { computeRank } from '../../domain/routing/mod.js';
import type { RouteTable } from '../../domain/routing/mod.js';
import type { DirectRequest, EventLog, Metrics, RandomSource } from '../../ports/mod.js';
import { LatenessMonitor } from './_lateness_monitor.js';
import type { LatenessMonitorOptions } from './_lateness_monitor.js';
import type { RoutingView } from './routing_view.js';

/**
 * Bounds of the time after which a rejected caller should come back, in milliseconds: another
 * entry host may serve it at once, and what is left is spread over several turns of this one.
 */
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 500;

const CALL_ENDED_LABELS = { event: 'call_refused', kind: ErrorKind.EntryHostOverloaded };

/** Dependencies of {@link EarlyRejections}. */
export interface EarlyRejectionsOptions extends Omit<LatenessMonitorOptions, 'onGateChange'> {
  readonly routing: RoutingView;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

/** Rejects calls of the lowest ranks first, and logs only when it begins and ends. */
export class EarlyRejections {
  readonly #options: EarlyRejectionsOptions;

  /** How late this host runs. */
  readonly lateness: LatenessMonitor;

  #rejectedCount = 0;

  #rankedTable: RouteTable | undefined;

  /** Ranks that the configuration knows, the most urgent first. */
  #ranks: readonly number[] = [];

  /** @param options - configuration, calls, random numbers, log and metrics */
  constructor(options: EarlyRejectionsOptions) {
    this.#options = options;
    this.lateness = new LatenessMonitor({
      ...options,
      onGateChange: (change) => this.#logChange(change),
    });
  }

  /** @param request - a new call. @returns why it is rejected; undefined if it is not */
  findRejection(request: DirectRequest): SchedulerError | undefined {
    const { severity } = this.lateness;
    if (severity === 0) return undefined;
    const { random, metrics } = this.#options;
    if (random.nextFraction() >= this.#computeFraction(request, severity)) return undefined;
    this.#rejectedCount += 1;
    metrics.count('calls_ended_total', CALL_ENDED_LABELS);
    const spreadMs = (MAX_RETRY_AFTER_MS - MIN_RETRY_AFTER_MS) * random.nextFraction();
    return new SchedulerError(ErrorKind.EntryHostOverloaded, {
      retryAfterMs: MIN_RETRY_AFTER_MS + spreadMs,
    });
  }

  #logChange(change: GateChange): void {
    const { log, metrics } = this.#options;
    const timerLatenessMs = Math.round(this.lateness.latenessMs);
    if (change === GateChange.Closed) {
      log.write(LogLevel.Warn, 'early_rejections_begun', { timerLatenessMs });
      metrics.count('early_rejections_begun_total');
    } else {
      const rejected = this.#rejectedCount;
      this.#rejectedCount = 0;
      log.write(LogLevel.Info, 'early_rejections_ended', { timerLatenessMs, rejected });
    }
  }

  /** A call that the configuration does not know is left to the checks, which refuse it. */
  #computeFraction({ hostName, path, key }: DirectRequest, severity: number): number {
    const { table } = this.#options.routing;
    const route = table?.findRoute(hostName, path);
    const account = key === undefined ? undefined : table?.findAccount(key);
    if (!table || !route || !(account || route.mayBeAnonymous)) return 0;
    const ranks = this.#listRanks(table);
    const rank = computeRank(route, route.mayBeAnonymous ? undefined : account);
    return computeRejectedFraction(severity, ranks.indexOf(rank), ranks.length);
  }

  #listRanks(table: RouteTable): readonly number[] {
    if (this.#rankedTable !== table) {
      const { routes, accounts } = table.document;
      const ranks = new Set<number>();
      const accountsByRank = new Map(accounts.map((account) => [account.rank, account]));
      routes.forEach((route) => {
        if (route.mayBeAnonymous) ranks.add(computeRank(route, undefined));
        else accountsByRank.forEach((account) => ranks.add(computeRank(route, account)));
      });
      this.#ranks = [...ranks].sort((a, b) => a - b);
      this.#rankedTable = table;
    }
    return this.#ranks;
  }
}
