/**
 * Starts a fleet of real processes for the demo, benchmarks and fault tests: entry hosts,
 * platform services, engines, plain servers, and proxies that inject network faults.
 *
 * ```ts
 * const fleet = await startFleet({ entryHostCount: 3, proxied: { peers: true } });
 * fleet.findEntryHost('entry-1').kill('SIGSTOP');
 * await fleet.setFault('engine-1', { kind: 'silent' });
 * await fleet.stop();
 * ```
 *
 * @module
 */
export { startFleet } from './start_fleet.js';
export type { FleetOptions, ProxiedLinks } from './fleet_options.js';
export { Fleet } from './fleet.js';
export type { BackendFault } from './fleet.js';
export { BackendServer, EntryHost, FleetProcess, PlatformProcess } from './fleet_process.js';
export { Operator } from './operator.js';
export type { HostEntry, PlatformFault, ReadCounts } from './operator.js';
export { CutProxy, LinkFault } from './cut_proxy.js';
export { PortReservation } from './port_reservation.js';
export { waitUntil } from './wait_until.js';
export { sendControl, sendJsonControl } from './_control.js';
export type { ControlResponse, ControlOptions } from './_control.js';
export { ADMIN_KEY } from './_program_specs.js';
export { buildApiKey, hashApiKey } from './documents.js';
export type * from './documents.js';
export { ENGINE_KINDS, MOULINET, PADMARAAG } from './shapes.js';
export type { FleetShape } from './shapes.js';
