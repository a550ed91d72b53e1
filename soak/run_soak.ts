/**
 * Plays one soak run: a fleet, callers, and faults derived from a seed, followed by the checks.
 *
 * @module
 */
import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { MAX_ADDRESSES } from '../src/domain/overlay/mod.js';
import { queryAddresses, queryReady } from './ask.js';
import { SoakCaller } from './callers.js';
import type { SoakCall } from './callers.js';
import { listViolations } from './checks.js';
import type { SoakFleetOptions } from './fleet_parts.js';
import { isBrokenOff } from './lost_calls.js';
import type { Disturbance } from './checks.js';
import { injectFault } from './fault_table.js';
import { buildPlan } from './plan.js';
import type { PlannedFault } from './plan.js';
import { SoakFleet } from './soak_fleet.js';

/** Settings of a run. */
export interface SoakOptions {
  readonly seed: number;
  readonly hosts: number;
  readonly replicas: number;
  readonly callers: number;
  /** Length in milliseconds of the phase in which faults begin. */
  readonly lengthMs: number;
  /** Folder for the entry hosts' logs and `record.json`. */
  readonly folder: string;
  /** Faults to inject instead of those generated from the seed. */
  readonly plan?: readonly PlannedFault[];
  /** Deviations from the defaults of the fleet. */
  readonly fleet?: SoakFleetOptions;
  /** Receives one line per injected fault. */
  readonly onProgress: (line: string) => void;
}

/** Results of a run. */
export interface SoakVerdict {
  readonly seed: number;
  /** One line per violated guarantee. */
  readonly broken: readonly string[];
  readonly calls: number;
  /** Calls with a complete response of status 200. */
  readonly served: number;
  /** Calls refused with status 429 or 503. */
  readonly refused: number;
  /** Calls without a response whose caller did not disconnect. */
  readonly unanswered: number;
  /** Calls whose response began and did not end, and whose caller did not disconnect. */
  readonly brokenOff: number;
  /** Calls answered with status 502 or 504. */
  readonly failed: number;
  readonly faults: readonly PlannedFault[];
}

/** Time limit in milliseconds for hosts to become ready at the start and after the last fault. */
const READY_LIMIT_MS = 30_000;

/** Fraction of calls that must succeed once the fleet has recovered. */
const MIN_SERVED_FRACTION = 0.9;

/** Length in milliseconds of the final phase without faults. */
const CALM_PHASE_MS = 3_000;

/** Interval between readiness queries, in milliseconds. */
const READY_POLL_MS = 100;

/**
 * Plays one run.
 *
 * @param options - seed, sizes and folder
 * @returns the verdict
 */
export async function runSoak(options: SoakOptions): Promise<SoakVerdict> {
  const { seed, hosts, replicas, callers: callerCount, lengthMs, folder, onProgress } = options;
  const faults = options.plan ?? buildPlan({ seed, hosts, replicas, lengthMs });
  const fleet = new SoakFleet(folder, options.fleet);
  const callers = Array.from(
    { length: callerCount },
    (_, index) => new SoakCaller(fleet, `c${index}`, seed * 1_000 + index),
  );
  const disturbances: Disturbance[] = [];
  try {
    await fleet.start(hosts, replicas);
    await waitUntilReady(fleet);
    const callerRuns = callers.map((caller) => caller.run());
    const startedAtMs = performance.now();
    for (const fault of faults) {
      await sleepUntil(startedAtMs + fault.atMs);
      onProgress(`seed ${seed}: ${(fault.atMs / 1_000).toFixed(1)} s ${fault.kind} ${fault.index}`);
      disturbances.push(startDisturbance(fleet, fault));
    }
    await sleepUntil(Math.max(...disturbances.map(({ untilMs }) => untilMs), 0));
    const missing = await waitUntilReady(fleet);
    const calmAtMs = performance.now();
    await sleepUntil(calmAtMs + CALM_PHASE_MS);
    callers.forEach((caller) => caller.stop());
    await Promise.all(callerRuns);
    await sleepUntil(performance.now() + READY_LIMIT_MS / 6);
    const calls = callers.flatMap((caller) => caller.calls);
    const broken = [
      ...missing.map((name) => `${name} is not ready in time after the last fault`),
      ...checkRecovery(calls, calmAtMs),
      ...listViolations({
        calls,
        runs: fleet.runs,
        leftAtMs: fleet.leftAtMs,
        revokedAtMs: fleet.configuration.revokedAtMs,
        keySpans: fleet.configuration.keySpans,
        ownEnds: fleet.ownEnds,
        overfilledIds: fleet.refusalLimit.overfilledIds,
        disturbances,
      }),
    ];
    const record = { seed, faults, broken, disturbances, calls };
    writeFileSync(path.join(folder, 'record.json'), JSON.stringify(record, undefined, 1));
    return { seed, broken, faults, ...countOutcomes(calls) };
  } finally {
    callers.forEach((caller) => caller.close());
    await fleet.stop();
  }
}

function countOutcomes(
  calls: readonly SoakCall[],
): Omit<SoakVerdict, 'broken' | 'faults' | 'seed'> {
  return {
    calls: calls.length,
    served: calls.filter(({ status, isWhole }) => status === 200 && isWhole).length,
    refused: calls.filter(({ status }) => status === 503 || status === 429).length,
    unanswered: calls.filter(({ status, hasLeft }) => status === 0 && !hasLeft).length,
    brokenOff: calls.filter(isBrokenOff).length,
    failed: calls.filter(({ status }) => status === 502 || status === 504).length,
  };
}

/**
 * Injects a fault. An instantaneous fault, such as a kill, counts as disturbing for a fixed time in
 * which the process restarts and serves again.
 */
function startDisturbance(fleet: SoakFleet, fault: PlannedFault): Disturbance {
  const { kind, index, forMs } = fault;
  const fromMs = performance.now();
  const host = fleet.hosts[index % fleet.hosts.length];
  const isLasting = injectFault(fleet, fault);
  return {
    kind,
    fromMs,
    untilMs: fromMs + (isLasting ? forMs : READY_LIMIT_MS / 6),
    address: kind.startsWith('host') ? host?.settings.callersAddress : undefined,
  };
}

function checkRecovery(calls: readonly SoakCall[], calmAtMs: number): string[] {
  const calm = calls.filter(
    ({ sentAtMs, hasLeft, key, takesUp }) =>
      sentAtMs > calmAtMs && !hasLeft && !takesUp && !key.includes('revoked'),
  );
  const served = calm.filter(({ status, isWhole }) => status === 200 && isWhole).length;
  if (calm.length > 0 && served >= calm.length * MIN_SERVED_FRACTION) return [];
  return [`after all faults ${served} of ${calm.length} calls are served`];
}

/** @returns IDs of entry hosts that did not become ready in time */
async function waitUntilReady(fleet: SoakFleet): Promise<string[]> {
  const limitMs = performance.now() + READY_LIMIT_MS;
  let missing: string[] = [];
  do {
    await sleepUntil(performance.now() + READY_POLL_MS);
    const states = await Promise.all(fleet.hosts.map(async (host) => isSettled(fleet, host)));
    missing = fleet.hosts
      .filter((_host, index) => !states[index])
      .map(({ settings }) => settings.hostId);
  } while (missing.length > 0 && performance.now() < limitMs);
  return missing;
}

/**
 * Whether a host is ready and lists every entry host, up to the maximum number of addresses that a
 * caller receives.
 */
async function isSettled(
  fleet: SoakFleet,
  { settings }: SoakFleet['hosts'][number],
): Promise<boolean> {
  if (!(await queryReady(settings.readinessAddress))) return false;
  const addresses = await queryAddresses(settings.addressBookAddress);
  return addresses.length >= Math.min(MAX_ADDRESSES, fleet.hosts.length);
}

function sleepUntil(atMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, atMs - performance.now()));
  });
}
