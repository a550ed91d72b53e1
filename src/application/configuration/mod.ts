/**
 * Keeps the configuration of one entry host up to date from the platform's
 * configuration service and from peers. An entry never goes back to an older
 * revision. Create the exported class with its options and call `start()`.
 *
 * @module
 */
export { ConfigurationKeeper } from './configuration_keeper.js';
export type { ConfigurationKeeperOptions } from './configuration_keeper.js';
