/**
 * The ways of requests to backend servers: over this host's own links, or through a peer while
 * these are cut. `new HostPaths(options).client.send(request, listener)` picks the way.
 *
 * @module
 */
export { HostPaths } from './host_paths.js';
export type { HostPathsOptions } from './host_paths.js';
