/**
 * Crash notes: reports about runs that ended with the crash of a backend server.
 *
 * @module
 */

/** What a run says about its request content. */
export enum CrashState {
  /** The request may have crashed the server. */
  Suspected = 'suspected',
  /**
   * The request did not crash the server: it was answered elsewhere, or the server is alive.
   * Overrides a suspicion.
   */
  Cleared = 'cleared',
}

/** One trial: a single request of a content on probation, the only one among all entry hosts. */
export interface TrialNote {
  /** ID of the trial, the same on all entry hosts. */
  readonly id: string;
  /** Time since the trial was sent, in milliseconds. */
  readonly startedAgoMs: number;
  /** Whether the trial never ran on a server and thus doesn't count. Default: false. */
  readonly isVoid?: boolean;
}

/** One run of a request content that ended with a crash. */
export interface CrashNote {
  /** ID of the request content. */
  readonly contentId: string;
  /** ID of the crash, shared by all runs that ended with it. */
  readonly crashId: string;
  readonly state: CrashState;
  /** Whether the content was answered within a minute before the crash. Default: false. */
  readonly isVouched?: boolean;
  /**
   * Whether the content was answered at about the time of the crash, by a run that began clearly
   * before this one. Default: false.
   */
  readonly isExcused?: boolean;
  /** Client accounts whose requests ran it there, two at most. Default: unknown. */
  readonly accountIds?: readonly string[];
  /** Whether the sender of the crash note quarantines the content. */
  readonly isHeld: boolean;
  /** Time since the run was sent, and since it broke off, in milliseconds. */
  readonly startedAgoMs: number;
  readonly endedAgoMs: number;
  /** Time since the content last ran or was requested, as far as known, in milliseconds. */
  readonly seenAgoMs: number;
  /** Trials of the content. Default: none. */
  readonly trials?: readonly TrialNote[];
}
