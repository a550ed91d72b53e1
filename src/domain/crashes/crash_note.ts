/**
 * What is known of one run under which a backend server ended.
 *
 * @module
 */

/** What such a run says about its request. */
export enum CrashState {
  /** The request may have ended the server. */
  Suspected = 'suspected',
  /** It has not: it was answered elsewhere, or the server lives. This goes before the former. */
  Cleared = 'cleared',
}

/** One sending of a content in doubt, alone among all entry hosts. */
export interface TrialNote {
  /** Names the trial: the same at all entry hosts. */
  readonly id: string;
  /** Time since it was sent, in milliseconds. */
  readonly startedAgoMs: number;
  /** Whether it never ran at a server, so that it counts as none. Default: false. */
  readonly isVoid?: boolean;
}

/** One run of one content, and the crash that it ended with. */
export interface CrashNote {
  /** Names the content of the request. */
  readonly contentId: string;
  /** Names the crash: all runs that ended with it have the same. */
  readonly crashId: string;
  readonly state: CrashState;
  /** Whether the content was answered within a minute before that end. Default: false. */
  readonly isVouched?: boolean;
  /** Whether whoever tells it holds the content. */
  readonly isHeld: boolean;
  /** Time since the run was sent, and since it broke, in milliseconds. */
  readonly startedAgoMs: number;
  readonly endedAgoMs: number;
  /** Time since its content was last asked for where that is known, in milliseconds. */
  readonly seenAgoMs: number;
  /** Trials of the content. Default: none. */
  readonly trials?: readonly TrialNote[];
}
