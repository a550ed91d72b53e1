/**
 * The configuration of one entry host: read and watched at the platform's
 * service, exchanged with peers, never taken back:
 * `const keeper = new ConfigurationKeeper(options); keeper.start()`.
 *
 * @module
 */
export { ConfigurationKeeper } from './configuration_keeper.js';
export type { ConfigurationKeeperOptions } from './configuration_keeper.js';
