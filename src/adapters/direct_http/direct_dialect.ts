/**
 * How the facts of a call are written in HTTP headers.
 *
 * @module
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { RequestWork } from '../../domain/backend_servers/mod.js';
import type { SchedulerError } from '../../domain/errors/mod.js';
import type { BackendRequest, RawHeaders, ReportedLoad } from '../../ports/mod.js';

/** What a caller's headers say. */
export interface CallFacts {
  /** Undefined when the caller gave none. */
  readonly requestId: string | undefined;
  readonly key: string | undefined;
  readonly deadlineMs: number | undefined;
  readonly lastEventId: string | undefined;
  readonly work: RequestWork;
  readonly isSized: boolean;
}

/** What the head of a backend server's answer says. */
export interface AnswerFacts {
  /** ID of the request that it answers; undefined when it names none. */
  readonly requestId: string | undefined;
  readonly isAuthentic: boolean;
  /** Whether the server says that it did not run the request. */
  readonly hasNotRun: boolean;
  /** Whether another life of a backend server has answered; it did not run the request. */
  readonly isMisdirected: boolean;
  readonly load: ReportedLoad | undefined;
}

/** Names headers and reads their values; decides nothing. */
export abstract class DirectDialect {
  /** Headers that a caller may not set and that are not passed on, in lower case. */
  abstract readonly ownHeaders: ReadonlySet<string>;

  /** @param headers - a caller's headers. @returns what they say */
  abstract readCall(headers: IncomingHttpHeaders): CallFacts;

  /** @param request - a request to a backend server. @returns the headers that the system sets */
  abstract buildSystemHeaders(request: BackendRequest): RawHeaders;

  /**
   * @param status - status of an answer
   * @param headers - its headers
   * @returns what they say
   */
  abstract readAnswer(status: number, headers: IncomingHttpHeaders): AnswerFacts;

  /**
   * @param error - a refusal or failure
   * @param requestId - the request's ID, where it has one
   * @returns the headers of its answer beside type and length
   */
  abstract buildRefusalHeaders(error: SchedulerError, requestId: string | undefined): string[];
}
