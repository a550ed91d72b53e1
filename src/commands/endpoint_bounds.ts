/**
 * Bounds what clients that ask for readiness, addresses or metrics make a process keep.
 *
 * @module
 */
import type { CloseReport, InputGate } from '../adapters/http_common/mod.js';
import type { ByteBudget } from '../domain/memory/mod.js';
import type { EventLog, Metrics } from '../ports/mod.js';
import { createCloseReport } from './_close_report.js';
import type { EndpointName } from './_close_report.js';
import type { DirectMemory } from './_direct_memory.js';

export { ListenerName } from './_close_report.js';
export type { EndpointName } from './_close_report.js';

/** What clients of an endpoint may make the process keep. */
export interface EndpointBounds {
  readonly gate: InputGate;
  /** Counts the requests of all endpoints. */
  readonly requests: ByteBudget;
  readonly maxConnections: number;
  readonly onClosed: CloseReport;
}

/**
 * Builds the bounds of an endpoint.
 *
 * @param endpoint - the endpoint
 * @param memory - what clients of the process may make it keep
 * @param ports - where closed connections are reported
 * @returns bounds for its listener
 */
export function buildEndpointBounds(
  endpoint: EndpointName,
  memory: DirectMemory,
  ports: { readonly log: EventLog; readonly metrics: Metrics },
): EndpointBounds {
  return {
    gate: memory.gate,
    requests: memory.budgets.endpoints,
    maxConnections: memory.endpointConnections[endpoint],
    onClosed: createCloseReport(endpoint, ports),
  };
}
