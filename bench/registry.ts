/**
 * Lists every bench by name.
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
import { runSilentServers } from './silent_servers.js';
import { runThroughputOneHost } from './throughput_one_host.js';
import { runWideFleet } from './wide_fleet.js';

/** All benches, in the order in which they are listed. */
export const BENCHES: readonly Bench[] = [
  {
    name: 'added-latency',
    description: 'latency of calls through an entry host against a direct call, p50 and p99',
    run: runAddedLatency,
  },
  {
    name: 'continue-cost',
    description: 'latency of the 100-continue handshake against a new connection for each call',
    run: runContinueCost,
  },
  {
    name: 'forward-cost',
    description: 'latency of a call sent to its owner against one forwarded to it',
    run: runForwardCost,
  },
  {
    name: 'dispatcher-time',
    description: 'latency of a slot request while slots are free, p50 and p99',
    run: runDispatcherTime,
  },
  {
    name: 'throughput-one-host',
    description: 'maximum requests per second through one entry host',
    run: runThroughputOneHost,
  },
  {
    name: 'configuration-spread',
    description: 'time until a change is in effect on eight entry hosts, all or half connected',
    run: runConfigurationSpread,
  },
  {
    name: 'configuration-reads',
    description: 'platform reads per second by number of entry hosts, projected to 410',
    run: runConfigurationReads,
  },
  {
    name: 'silent-link',
    description: 'detection time of a link that goes silent without closing, by kind of link',
    run: runSilentLink,
  },
  {
    name: 'silent-servers',
    description: 'calls without an answer while servers fall silent beside new configurations',
    run: runSilentServers,
  },
  {
    name: 'dead-peer',
    description: 'detection time of a killed or paused entry host',
    run: runDeadPeer,
  },
  {
    name: 'leaving-notice',
    description: 'time until a draining backend server receives no new work',
    run: runLeavingNotice,
  },
  {
    name: 'answer-memory',
    description: 'memory per retained answer, for small and large answers',
    run: runAnswerMemory,
  },
  {
    name: 'overload',
    description: 'goodput by tier, wasted prefill and violated guarantees by case and strategy',
    run: runOverload,
  },
  {
    name: 'group-size',
    description: 'dispatch group sizes: one dispatcher per backend server up to one per service',
    run: runGroupSize,
  },
  {
    name: 'reserve',
    description: 'waiting for slots against reserving slots for higher tiers',
    run: runReserve,
  },
  {
    name: 'capacity-peers',
    description: 'control traffic without calls, by number of entry hosts',
    run: runCapacityPeers,
  },
  {
    name: 'capacity-requests',
    description: 'messages, CPU time and memory, by requests per second',
    run: runCapacityRequests,
  },
  {
    name: 'capacity-accounts',
    description: 'messages and memory, by number of client accounts',
    run: runCapacityAccounts,
  },
  {
    name: 'capacity-backends',
    description: 'control traffic, by number of backend servers',
    run: runCapacityBackends,
  },
  {
    name: 'wide-fleet',
    description: 'resource usage of an entry host in a large fleet without calls, by role',
    run: runWideFleet,
  },
  {
    name: 'capacity-answers',
    description: 'memory by number of retained answers of one size',
    run: (options) =>
      runAnswerMemory({ ...options, flags: new Map([['sizes', '1000'], ...options.flags]) }),
  },
];
