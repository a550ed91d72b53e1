/**
 * Creates the queue of a service.
 *
 * @module
 */
import type { Clock, RandomSource } from '../../ports/mod.js';
import type { ServerRegistry } from './server_registry.js';
import { ServiceQueue } from './service_queue.js';
import type { ServiceQueueOptions } from './service_queue_options.js';

/** What the queues of all services depend on. */
export interface QueueDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly servers: ServerRegistry;
  /** @returns number of entry hosts that serve callers, including this one */
  readonly countEntryHosts: () => number;
}

/** The service of a queue, and what is called as its calls wait and its slots become free. */
export interface QueueParts extends Pick<
  ServiceQueueOptions,
  'fairOrder' | 'forwardFreedSlot' | 'onWaiting'
> {
  readonly serviceId: string;
}

/**
 * @param dependencies - what the queues of all services depend on
 * @param parts - the service, and what is called
 * @returns the queue of the service
 */
export function createServiceQueue(
  { clock, random, servers, countEntryHosts }: QueueDependencies,
  { serviceId, ...parts }: QueueParts,
): ServiceQueue {
  return new ServiceQueue({
    ...parts,
    clock,
    random,
    countEntryHosts,
    listCandidates: () => servers.listCandidates(serviceId),
    estimateBlockedMs: () => servers.estimateBlockedMs(serviceId),
    countWaitingAtPeers: () => servers.countWaitingAtPeers(serviceId),
    countPeerCallsAhead: (rank) => servers.peers.countCallsAhead(serviceId, rank),
    getPeerUrgency: () => Math.ceil(servers.peers.findFirstWaiting(serviceId)?.urgency ?? Infinity),
  });
}
