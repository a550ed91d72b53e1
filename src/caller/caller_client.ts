/**
 * Client that sends calls through the entry hosts.
 *
 * @module
 */
import http from 'node:http';
import https from 'node:https';
import * as z from 'zod';
import { SystemClock } from '../adapters/clock/mod.js';
import type { Assignment } from '../application/views/mod.js';
import { RunOutcome } from '../domain/errors/mod.js';
import type { Clock } from '../ports/mod.js';
import { AddressBook } from './_address_book.js';
import { AnswerBody } from './_answer_body.js';
import type { CallContext } from './_call_context.js';
import { sendControlCall } from './_control_call.js';
import { NeverSentError, Submission } from './_submission.js';
import { CallerError, LocalErrorCode } from './caller_error.js';
import type { CallerReply, CallerRequest } from './caller_request.js';

const DEFAULT_SILENCE_TIMEOUT_MS = 10_000;
const MAX_REQUEST_IDS = 4;

const addressSchema = z.object({ id: z.string(), url: z.string() });

const assignmentSchema = z.object({
  id: z.string().min(1),
  entryHost: addressSchema,
  entryHosts: z.array(addressSchema),
  keepMs: z.number().min(0),
});

/** Options of {@link CallerClient}. */
export interface CallerClientOptions {
  /** Base URLs of entry hosts to ask first; one suffices as long as it is reachable. */
  readonly urls: readonly string[];
  readonly apiKey: string;
  /** CA certificates in PEM to trust instead of the default ones. */
  readonly certificateAuthority?: string;
  /**
   * Time without data, in milliseconds, after which the client asks an entry host for the state of
   * the request. Default: 10,000.
   */
  readonly silenceTimeoutMs?: number;
  /** Default: the system clock. */
  readonly clock?: Clock;
}

/** Sends calls through the entry hosts: each runs at most once, and its answer is complete. */
export class CallerClient {
  readonly #context: CallContext;

  /** @param options - the entry hosts, the API key and the timeouts */
  constructor(options: CallerClientOptions) {
    const clock = options.clock ?? new SystemClock();
    this.#context = {
      clock,
      agents: {
        http: new http.Agent({ keepAlive: true }),
        https: new https.Agent({ keepAlive: true, ca: options.certificateAuthority }),
      },
      addresses: new AddressBook(options.urls, clock),
      apiKey: options.apiKey,
      silenceTimeoutMs: options.silenceTimeoutMs ?? DEFAULT_SILENCE_TIMEOUT_MS,
    };
  }

  /**
   * Requests an ID for a call and the entry hosts to use.
   *
   * @param idempotencyKey - calls with the same key get the same ID until the ID expires
   * @param signal - aborts the call
   * @returns the request ID and the URLs of the entry hosts
   * @throws CallerError with `run` as `not_run` when no ID can be obtained
   */
  async assign(idempotencyKey?: string, signal?: AbortSignal): Promise<Assignment> {
    const answer = await sendControlCall(this.#context, {
      method: 'POST',
      path: '/v1/requests',
      headers: idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey },
      signal,
    });
    const { success, data, error } = assignmentSchema.safeParse(answer);
    if (!success)
      throw new CallerError(RunOutcome.NotRun, `Cannot read the request ID: ${error.message}`, {
        code: LocalErrorCode.MalformedAnswer,
      });
    this.#context.addresses.apply(data);
    return data;
  }

  /**
   * Sends one call. While no byte of the call has been sent, an unreachable entry host makes the
   * client request a new ID. Once anything may have been sent, the call keeps its ID.
   *
   * @param request - the call
   * @returns the answer: its head, and its body to be read
   * @throws CallerError when the call is refused or fails; its `run` tells whether the call ran
   */
  async send(request: CallerRequest): Promise<CallerReply> {
    let lastError: Error | undefined;
    for (let usedIds = 0; usedIds < MAX_REQUEST_IDS; usedIds += 1) {
      const assignment = await this.assign(request.idempotencyKey, request.signal);
      try {
        return await this.#sendAs(assignment, request);
      } catch (error) {
        if (!(error instanceof NeverSentError)) throw error;
        lastError = error;
      }
    }
    throw new CallerError(RunOutcome.NotRun, `Cannot send the call: ${lastError?.message}`, {
      code: LocalErrorCode.Unreachable,
      cause: lastError,
    });
  }

  /**
   * Cancels a request.
   *
   * @param requestId - ID of the request
   * @returns when an entry host has accepted the cancellation
   * @throws CallerError when no entry host accepts it
   */
  async cancel(requestId: string): Promise<void> {
    const path = `/v1/requests/${encodeURIComponent(requestId)}`;
    await sendControlCall(this.#context, { method: 'DELETE', path });
  }

  /** Closes all connections of the client. */
  close(): void {
    this.#context.agents.http.destroy();
    this.#context.agents.https.destroy();
  }

  async #sendAs(assignment: Assignment, request: CallerRequest): Promise<CallerReply> {
    const submitted = await new Submission(this.#context, assignment, request).run();
    const body = new AnswerBody(this.#context, assignment.id, submitted, request.signal);
    const { head } = submitted.answer;
    return {
      requestId: assignment.id,
      status: head.statusCode ?? 0,
      headers: head.headers as Record<string, string>,
      body: body.read(),
      get resumes() {
        return body.resumes;
      },
    };
  }
}
