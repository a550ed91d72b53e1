/**
 * Defines the cases of the overload bench.
 *
 * @module
 */
import { LinkFault } from '../test/fleet/mod.js';
import type { Fleet } from '../test/fleet/mod.js';

/** An action on the fleet, such as a fault, while the load runs. */
export interface CaseAction {
  /** Start time as a fraction of the measured time, which excludes the warm-up. */
  readonly atFraction: number;
  readonly run: (fleet: Fleet) => Promise<void> | void;
}

/** One combination of load and faults. */
export interface OverloadCase {
  readonly name: string;
  /** Phases as fractions of the measured time, with the load in multiples of the capacity. */
  readonly phases: readonly { readonly share: number; readonly multiple: number }[];
  readonly actions: readonly CaseAction[];
  /** Whether the links between entry hosts must go through proxies, which run in this process. */
  readonly mustProxyPeers: boolean;
}

/** Factor by which the slow engine's durations grow. */
const SLOW_FACTOR = 10;
/** Load of cases with faults, as a multiple of the capacity. */
const FAULT_MULTIPLE = 0.9;

function buildSteady(name: string, multiple: number): OverloadCase {
  return { name, phases: [{ share: 1, multiple }], actions: [], mustProxyPeers: false };
}

function buildFaulty(name: string, actions: readonly CaseAction[]): OverloadCase {
  const phases = [{ share: 1, multiple: FAULT_MULTIPLE }];
  return { name, phases, actions, mustProxyPeers: false };
}

function setPeerFault(fault: LinkFault): (fleet: Fleet) => void {
  return (fleet) => fleet.entryHosts.forEach((host) => host.proxy?.setFault(fault));
}

/** All cases in the order in which they run. */
export const OVERLOAD_CASES: readonly OverloadCase[] = [
  buildSteady('unloaded-0.2', 0.2),
  buildSteady('steady-0.7', 0.7),
  buildSteady('overload-1.3', 1.3),
  buildSteady('overload-2', 2),
  {
    name: 'burst',
    phases: [
      { share: 0.3, multiple: 0.7 },
      { share: 0.3, multiple: 3 },
      { share: 0.4, multiple: 0.7 },
    ],
    actions: [],
    mustProxyPeers: false,
  },
  buildFaulty('slow-engine', [
    {
      atFraction: 0.25,
      run: (fleet) => fleet.setFault('engine-1', { kind: 'slow', factor: SLOW_FACTOR }),
    },
    { atFraction: 0.75, run: (fleet) => fleet.setFault('engine-1', { kind: 'none' }) },
  ]),
  buildFaulty('entry-killed', [
    { atFraction: 0.35, run: (fleet) => fleet.findEntryHost('entry-3').kill('SIGKILL') },
  ]),
  // Cuts every link between entry hosts, so that each of them is isolated.
  {
    ...buildFaulty('partition', [
      { atFraction: 0.35, run: setPeerFault(LinkFault.Cut) },
      { atFraction: 0.7, run: setPeerFault(LinkFault.None) },
    ]),
    mustProxyPeers: true,
  },
  // Freezes the host list and then kills a host, which the list keeps showing as live.
  buildFaulty('stale-host-list', [
    { atFraction: 0.2, run: (fleet) => fleet.hostList.operator.setFault({ kind: 'stale' }) },
    { atFraction: 0.35, run: (fleet) => fleet.findEntryHost('entry-4').kill('SIGKILL') },
  ]),
];
