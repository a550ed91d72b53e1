/**
 * Creates the listener for callers of an entry host whose calls carry their own request ID.
 *
 * @module
 */
import { DirectListener } from '../adapters/direct_http/mod.js';
import type { DirectDialect } from '../adapters/direct_http/mod.js';
import { EndCause } from '../application/direct/mod.js';
import type { RoutingView } from '../application/direct/mod.js';
import { LogLevel } from '../domain/errors/mod.js';
import type { CallerLimits } from '../domain/routing/mod.js';
import type { DirectReply, DirectRequest, EventLog, Metrics } from '../ports/mod.js';
import { createCloseReport, ListenerName } from './_close_report.js';
import type { DirectMemory } from './_direct_memory.js';

/** Limits on callers until the first configuration is read. */
const INITIAL_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** What the listener shares with other parts of the process. */
export interface ListenerSurroundings {
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** What callers may make the process keep. Default: what a small machine may. */
  readonly memory?: DirectMemory;
}

/** What the listener depends on. */
export interface DirectListenerParts {
  readonly dialect: DirectDialect;
  readonly routing: RoutingView;
  /** @returns whether connections must be closed after their current request */
  readonly mustClose: () => boolean;
  readonly handle: (request: DirectRequest, reply: DirectReply) => void;
}

/**
 * Creates the listener.
 *
 * @param surroundings - logs, metrics and memory of the process
 * @param parts - what the listener depends on
 * @returns a listener that is not started yet
 */
export function createDirectListener(
  { log, metrics, memory }: ListenerSurroundings,
  { routing, ...rest }: DirectListenerParts,
): DirectListener {
  return new DirectListener({
    ...rest,
    log,
    memory: memory?.budgets,
    maxConnections: memory?.maxConnections,
    gate: memory?.gate,
    onClosed: createCloseReport(ListenerName.Callers, { log, metrics }),
    getLimits: () => routing.table?.document.callerLimits ?? INITIAL_LIMITS,
    onCallerTooSlow: (requestId, bufferedBytes) => {
      const cause = EndCause.CallerTooSlow;
      log.write(LogLevel.Info, 'answer_broken_off', { requestId, cause, bufferedBytes });
      metrics.count('answers_broken_off_total', { cause });
    },
  });
}
