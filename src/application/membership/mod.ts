/**
 * Tracks the membership of entry hosts: which ones are known, which ones are leaving,
 * and whether this process may act on its view. Create the exported class with its
 * options, call `start()`, and read it as a `MembershipView`.
 *
 * @module
 */
export { MembershipKeeper } from './membership_keeper.js';
export type {
  ConfigurationVersion,
  GroupLoadsHandler,
  MembershipKeeperOptions,
  PeerConfigurationHandler,
} from './membership_keeper_options.js';
