/**
 * The caller's side of the protocol.
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
  /** Base URLs of entry hosts to ask first; one is enough while it lives. */
  readonly urls: readonly string[];
  readonly apiKey: string;
  /** Certificates of authorities to trust besides the usual ones, in PEM. */
  readonly certificateAuthority?: string;
  /** Silence after which it asks whether it misses something, in milliseconds. Default: 10,000. */
  readonly silenceMs?: number;
  /** Default: the machine's clock. */
  readonly clock?: Clock;
}

/** Calls through the entry hosts, each call at most once, its answer whole. */
export class CallerClient {
  readonly #context: CallContext;

  /** @param options - where to ask first, and the key */
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
      silenceTimeoutMs: options.silenceMs ?? DEFAULT_SILENCE_TIMEOUT_MS,
    };
  }

  /**
   * Asks which entry host to use, and for a request ID.
   *
   * @param idempotencyKey - gives the same ID to a repeated call, while the ID lives
   * @param signal - ends the call
   * @returns the ID and the addresses
   * @throws CallerError that says `not_run`
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
   * Sends one call. An entry host that can't be reached before anything was
   * sent costs an ID and no more; after that the call stays with its ID.
   *
   * @param request - the call
   * @returns its answer, head first
   * @throws CallerError when it is refused or fails; `run` says what is known
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
   * @param requestId - its ID
   * @returns when an entry host has taken the cancellation
   * @throws CallerError when nobody took it
   */
  async cancel(requestId: string): Promise<void> {
    const path = `/v1/requests/${encodeURIComponent(requestId)}`;
    await sendControlCall(this.#context, { method: 'DELETE', path });
  }

  /** Closes the connections that are kept. */
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
