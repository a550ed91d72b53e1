/**
 * Figures of the queues of an entry host, for its reports.
 *
 * @module
 */
import type { ServiceQueue } from './service_queue.js';
import { toUrgencyFigures } from './_urgency_sums.js';
import type { UrgencyFigures } from './_urgency_sums.js';

/** Queues with the ID of their service. */
export type QueueEntries = readonly (readonly [string, ServiceQueue])[];

/** Figures of all queues. */
export interface QueueFigures {
  /** Number of waiting calls, by service. */
  readonly waitingCalls: Readonly<Record<string, number>>;
  /** Urgency of the first waiting call, by service. */
  readonly firstWaiting: Readonly<Record<string, number>>;
  /** Number of waiting calls, by service and urgency. */
  readonly waitingByUrgency: UrgencyFigures;
  /** Calls started per second, by service and urgency. */
  readonly startedByUrgency: UrgencyFigures;
}

/**
 * @param queues - queues of this entry host
 * @returns their figures; services without any are left out
 */
export function summarizeQueues(queues: QueueEntries): QueueFigures {
  const busy = queues.filter(([, { size }]) => size > 0);
  return {
    waitingCalls: readQueues(busy, ({ size }) => size),
    firstWaiting: readQueues(busy, ({ firstUrgency }) => firstUrgency),
    waitingByUrgency: readQueues(busy, (queue) => toUrgencyFigures(queue.countByUrgency())),
    startedByUrgency: readQueues(queues, (queue) => toUrgencyFigures(queue.listStartRates())),
  };
}

function readQueues<T>(queues: QueueEntries, read: (queue: ServiceQueue) => T): Record<string, T> {
  return Object.fromEntries(queues.map(([id, queue]) => [id, read(queue)]));
}
