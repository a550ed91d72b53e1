/**
 * What entry hosts report to each other about entry hosts.
 *
 * @module
 */
import type { EntryHostIdentity } from '../membership/mod.js';

/** Which entry hosts' stats a report contains. */
export enum ReportScope {
  /** The sender alone, which requests the stats of all other hosts from the receiver. */
  Member = 'member',
  /** The sender and its members, from one relay to another. */
  Group = 'group',
  /** All entry hosts but the receiver, from a relay to its member. */
  Fleet = 'fleet',
}

/** State that a process of an entry host announces about itself; no other process changes it. */
export interface HostState {
  readonly identity: EntryHostIdentity;
  /** Wall clock time of the process start, in milliseconds; orders two processes of one host. */
  readonly bornAtMs: number;
  /** Rises with each change that the process makes to its state. */
  readonly version: number;
  /** Processor cores that it may use: its capacity relative to other entry hosts. */
  readonly cores: number;
  /** Whether callers may be sent to it. */
  readonly isServing: boolean;
  /** Whether its reads of the shared store succeed. */
  readonly isInTouch: boolean;
  /**
   * Whether it has lost its links to the backend servers, and sends requests through peers;
   * undefined in a version that knows no requests through peers, and would drop the link for one.
   */
  readonly isCutOff?: boolean | undefined;
  /** Whether it is about to stop. */
  readonly isLeaving: boolean;
}

/** Part of the state that changes while a process runs. */
export type OwnState = Pick<HostState, 'isServing' | 'isInTouch' | 'isCutOff' | 'isLeaving'>;

/** Entry about an entry host in a report. */
export interface RosterEntry {
  readonly state: HostState;
  /** Whether the sender has recently received a report from it, directly or through a relay. */
  readonly isHeard: boolean;
}
