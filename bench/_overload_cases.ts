/**
 * The cases of the overload experiment.
 *
 * @module
 */
import { LinkFault } from '../test/fleet/mod.js';
import type { Fleet } from '../test/fleet/mod.js';

/** Something that is done to the fleet while the load runs. */
export interface CaseAction {
  /** When, as a part of the counted time. */
  readonly atShare: number;
  readonly run: (fleet: Fleet) => Promise<void> | void;
}

/** One case. */
export interface OverloadCase {
  readonly name: string;
  /** Parts of the counted time and the load in multiples of capacity. */
  readonly phases: readonly { readonly share: number; readonly multiple: number }[];
  readonly actions: readonly CaseAction[];
  /** Whether the links between entry hosts must stand behind proxies, which run in this process. */
  readonly cutsPeers: boolean;
}

const SLOW_FACTOR = 10;
const FAULT_MULTIPLE = 0.9;

function buildSteady(name: string, multiple: number): OverloadCase {
  return { name, phases: [{ share: 1, multiple }], actions: [], cutsPeers: false };
}

function buildFaulty(name: string, actions: readonly CaseAction[]): OverloadCase {
  const phases = [{ share: 1, multiple: FAULT_MULTIPLE }];
  return { name, phases, actions, cutsPeers: false };
}

function setPeerFault(fault: LinkFault): (fleet: Fleet) => void {
  return (fleet) => fleet.entryHosts.forEach((host) => host.proxy?.setFault(fault));
}

/** All cases, in the order of the pages. */
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
    cutsPeers: false,
  },
  buildFaulty('slow-engine', [
    {
      atShare: 0.25,
      run: (fleet) => fleet.setFault('engine-1', { kind: 'slow', factor: SLOW_FACTOR }),
    },
    { atShare: 0.75, run: (fleet) => fleet.setFault('engine-1', { kind: 'none' }) },
  ]),
  buildFaulty('entry-killed', [
    { atShare: 0.35, run: (fleet) => fleet.findEntryHost('entry-3').kill('SIGKILL') },
  ]),
  // Each link between entry hosts is cut: every one of them is alone.
  {
    ...buildFaulty('partition', [
      { atShare: 0.35, run: setPeerFault(LinkFault.Cut) },
      { atShare: 0.7, run: setPeerFault(LinkFault.None) },
    ]),
    cutsPeers: true,
  },
  // The list is frozen, then shows a host as live that is dead.
  buildFaulty('stale-host-list', [
    { atShare: 0.2, run: (fleet) => fleet.hostList.operator.setFault({ kind: 'stale' }) },
    { atShare: 0.35, run: (fleet) => fleet.findEntryHost('entry-4').kill('SIGKILL') },
  ]),
];
