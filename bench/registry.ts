/**
 * Every bench by name.
 *
 * @module
 */
import type { Bench } from './bench.js';
import { runAddedLatency } from './added_latency.js';
import { runAnswerMemory } from './answer_memory.js';
import {
  runCapacityAccounts,
  runCapacityBackends,
  runCapacityPeers,
  runCapacityRequests,
} from './capacity.js';
import { runConfigurationReads } from './configuration_reads.js';
import { runConfigurationSpread } from './configuration_spread.js';
import { runContinueCost } from './continue_cost.js';
import { runDeadPeer } from './dead_peer.js';
import { runDispatcherTime } from './dispatcher_time.js';
import { runForwardCost } from './forward_cost.js';
import { runLeavingNotice } from './leaving_notice.js';
import { runGroupSize, runOverload, runReserve } from './overload.js';
import { runSilentLink } from './silent_link.js';
import { runThroughputOneHost } from './throughput_one_host.js';
import { runWideFleet } from './wide_fleet.js';

/** All benches, in the order of the pages. */
export const BENCHES: readonly Bench[] = [
  {
    name: 'added-latency',
    description: 'the whole path against a direct call to the stand-in, p50 and p99',
    run: runAddedLatency,
  },
  {
    name: 'continue-cost',
    description: 'the 100-continue proof against none and against a fresh connection',
    run: runContinueCost,
  },
  {
    name: 'forward-cost',
    description: 'a call sent to its owner against one passed on to it',
    run: runForwardCost,
  },
  {
    name: 'dispatcher-time',
    description: 'what the wait for a slot adds when there is room, p50 and p99',
    run: runDispatcherTime,
  },
  {
    name: 'throughput-one-host',
    description: 'most requests a second through one entry host',
    run: runThroughputOneHost,
  },
  {
    name: 'configuration-spread',
    description: 'from publishing to in force on eight entry hosts, all reading or half cut off',
    run: runConfigurationSpread,
  },
  {
    name: 'configuration-reads',
    description: 'reads a second at the platform against entry hosts, and at 410 by the slope',
    run: runConfigurationReads,
  },
  {
    name: 'silent-link',
    description: 'how soon a link that went silent without closing is noticed, by kind of link',
    run: runSilentLink,
  },
  {
    name: 'dead-peer',
    description: 'how soon a killed or frozen entry host is noticed',
    run: runDeadPeer,
  },
  {
    name: 'leaving-notice',
    description: 'how soon a leaving backend server gets no new work',
    run: runLeavingNotice,
  },
  {
    name: 'answer-memory',
    description: 'memory a kept answer, small and larger ones',
    run: runAnswerMemory,
  },
  {
    name: 'overload',
    description: 'cases × strategies × seeds: goodput by tier, wasted prefill, broken promises',
    run: runOverload,
  },
  {
    name: 'group-size',
    description: 'one dispatcher a backend server against one a service',
    run: runGroupSize,
  },
  {
    name: 'reserve',
    description: 'waiting against a reserve of slots for higher tiers',
    run: runReserve,
  },
  {
    name: 'capacity-peers',
    description: 'control at rest against the number of entry hosts',
    run: runCapacityPeers,
  },
  {
    name: 'capacity-requests',
    description: 'messages, processor time and memory against requests a second',
    run: runCapacityRequests,
  },
  {
    name: 'capacity-accounts',
    description: 'messages and memory against client accounts',
    run: runCapacityAccounts,
  },
  {
    name: 'capacity-backends',
    description: 'control against the number of backend servers',
    run: runCapacityBackends,
  },
  {
    name: 'wide-fleet',
    description: 'what an entry host costs as one of many, at rest, by its role',
    run: runWideFleet,
  },
  {
    name: 'capacity-answers',
    description: 'memory against kept answers of one size',
    run: (options) =>
      runAnswerMemory({ ...options, flags: new Map([['sizes', '1000'], ...options.flags]) }),
  },
];
