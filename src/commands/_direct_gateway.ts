/**
 * Creates the gateway of an entry host with limits derived from its settings.
 *
 * @module
 */
import { performance } from 'node:perf_hooks';
import { DirectGateway } from '../application/direct/mod.js';
import type { DirectGatewayOptions, HostReports } from '../application/direct/mod.js';
import type { DirectMemory } from './_direct_memory.js';
import type { DirectSettings } from './direct_settings.js';

/**
 * Fraction of the key revocation time that the configuration's age may reach before its keys are
 * no longer accepted. The remainder covers clock steps and the time that a request takes to reach
 * the backend server.
 */
const MAX_KEY_AGE_FRACTION = 0.8;

const MS_PER_SECOND = 1_000;

type DerivedOptions =
  | 'answers'
  | 'hasFairShares'
  | 'measureIdleMs'
  | 'retryBounds'
  | 'startedAtMs'
  | 'reportTimes'
  | 'maxKeyAgeMs'
  | 'sureAgeMs'
  | 'countEntryHosts';

/** Settings and collaborators of the gateway; all other options are derived from them. */
export interface DirectGatewayParts extends Omit<DirectGatewayOptions, DerivedOptions> {
  readonly settings: DirectSettings;
  readonly reports: HostReports;
  readonly memory: DirectMemory;
}

/**
 * Creates the gateway.
 *
 * @param parts - settings and collaborators of the gateway
 * @returns the gateway
 */
export function createDirectGateway(parts: DirectGatewayParts): DirectGateway {
  const { settings, reports, memory } = parts;
  return new DirectGateway({
    ...parts,
    answers: memory.budgets.answers,
    retryBounds: {
      ratio: settings.retryRatio,
      slack: settings.retrySlack,
      windowMs: settings.retryWindowS * MS_PER_SECOND,
    },
    hasFairShares: settings.hasFairShares,
    // Without a measure, the host ignores its lateness.
    measureIdleMs: settings.hasEarlyRejections
      ? () => performance.eventLoopUtilization().idle
      : undefined,
    startedAtMs: parts.clock.nowMs(),
    reportTimes: reports,
    maxKeyAgeMs: settings.keyRevocationMs * MAX_KEY_AGE_FRACTION,
    sureAgeMs: settings.configurationApplyMs,
    countEntryHosts: () => reports.knownCount,
  });
}
