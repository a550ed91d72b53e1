/**
 * Where the administration listener gets its answers.
 *
 * @module
 */
import type { ConfigurationStatus } from '../../application/views/mod.js';

/** Whether this entry host should be given work. */
export interface Readiness {
  readonly ready: boolean;
  /** Why not; empty when it is ready. */
  readonly reasons: readonly string[];
}

/** Result of a contract's dry run. */
export interface ContractCheck {
  readonly ok: boolean;
  /** One line a fault, with line and field. */
  readonly faults: readonly string[];
  /** Each limit, tier and allowance that would follow. */
  readonly explanation: readonly string[];
}

/** Functions that tell what this entry host knows; each result is plain JSON. */
export interface AdminSources {
  /** @returns the process's health, such as its ID, version and uptime */
  getHealth(): unknown;
  /** @returns whether it should be given work */
  getReadiness(): Readiness;
  /** @returns the configuration in force */
  getConfiguration(): ConfigurationStatus;
  /** @returns the entry hosts, as this one sees them */
  listEntryHosts(): unknown;
  /** @returns the backend servers, as this one sees them */
  listBackendServers(): unknown;
  /** @returns the queues by tier */
  listQueues(): unknown;
  /** @returns refusals by kind */
  listRefusals(): unknown;
  /** @returns the metrics in the Prometheus text format */
  getMetricsText(): string | Promise<string>;
  /** @param text - a contract document. @returns its faults, or what would follow from it */
  checkContract(text: string): ContractCheck;
}
