/**
 * The reports that the administration listener serves.
 *
 * @module
 */
import type { ConfigurationStatus } from '../../application/views/mod.js';

/** Whether this entry host is ready to receive requests. */
export interface Readiness {
  readonly ready: boolean;
  /** Reasons why the entry host isn't ready; empty when it is. */
  readonly reasons: readonly string[];
}

/** Result of checking a contract document without applying it. */
export interface ContractCheck {
  readonly ok: boolean;
  /** One entry per fault, each with the line and field of the document. */
  readonly faults: readonly string[];
  /** Each limit, tier and allowance that would result from the contract. */
  readonly explanation: readonly string[];
}

/** Functions that report the state of this entry host; each result is plain JSON data. */
export interface AdminSources {
  /** @returns the health of the process, such as its ID, version and uptime */
  getHealth(): unknown;
  /** @returns whether this entry host is ready to receive requests */
  getReadiness(): Readiness;
  /** @returns the status of the configuration in effect */
  getConfiguration(): ConfigurationStatus;
  /** @returns the entry hosts in this entry host's view */
  listEntryHosts(): unknown;
  /** @returns the backend servers in this entry host's view */
  listBackendServers(): unknown;
  /** @returns the queues by tier */
  listQueues(): unknown;
  /** @returns the number of refusals by error kind */
  listRefusals(): unknown;
  /** @returns the metrics in the Prometheus text format */
  getMetricsText(): string | Promise<string>;
  /** @param text - a contract document. @returns its faults, or its effects */
  checkContract(text: string): ContractCheck;
}
