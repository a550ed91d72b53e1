/**
 * Keeps the configuration of one entry host up to date from the platform's
 * configuration service and from peers. An entry never goes back to an older
 * revision: `const replica = new ConfigurationReplica(options); replica.start()`.
 *
 * @module
 */
export { ConfigurationReplica } from './configuration_replica.js';
export type { ConfigurationReplicaOptions } from './configuration_replica.js';
