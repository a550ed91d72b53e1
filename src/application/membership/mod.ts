/**
 * Membership of entry hosts: who is there, who leaves, and whether this process
 * may trust what it knows. `const membership = new MembershipKeeper({...});
 * membership.start();`, then read it as a `MembershipView`.
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
