/**
 * A simulated caller: requests an ID, sends the call, resumes its answer, and returns the outcome.
 *
 * @module
 */
import type http from 'node:http';
import { performance } from 'node:perf_hooks';
import * as z from 'zod';
import type { Arrival } from './arrivals.js';
import { sendExchange } from './_exchange.js';
import type { ExchangeCall, ExchangeResult } from './_exchange.js';
import { RequestProgress } from './_request_progress.js';
import type { RequestOutcome } from './outcome.js';

const MAX_ATTEMPTS = 6;
/** Step of the linear backoff; the first retry follows at once. */
const RETRY_BACKOFF_MS = 50;
/** Codes of refusals after which the call is retried at another entry host; nothing ran. */
const RETRY_ELSEWHERE_CODES = new Set(['entry_host_stopping', 'too_many_connections']);

const addressSchema = z.object({ url: z.string().min(1) });

const assignmentSchema = z.object({
  id: z.string().min(1),
  entryHost: addressSchema,
  entryHosts: z.array(addressSchema),
  keepMs: z.number().nonnegative(),
});

/** Options of a {@link LoadClient}. */
export interface LoadClientOptions {
  readonly urls: readonly string[];
  /** Index of the URL to try first; spreads the callers over the entry hosts. */
  readonly firstUrlIndex: number;
  readonly agent: http.Agent;
  /** Time that the caller still waits after the deadline, in milliseconds. */
  readonly graceMs: number;
  /** Whether each token of an answer must carry the mark of its prompt. */
  readonly checksAnswers: boolean;
}

/** One simulated caller; keeps the assigned entry host URLs for as long as they are valid. */
export class LoadClient {
  readonly #seedUrls: readonly string[];

  #assignedUrls: readonly string[] = [];

  #assignedUntilMs = 0;

  /** @param options - URLs, connections and limits of the caller */
  constructor(private readonly options: LoadClientOptions) {
    const { urls, firstUrlIndex } = options;
    this.#seedUrls = urls.map((_, index) => urls[(index + firstUrlIndex) % urls.length] as string);
  }

  /**
   * Sends one request, with retries and resumptions, until its outcome is known.
   *
   * @param arrival - the request to send
   * @param startedAtMs - scheduled time of the arrival on the monotonic clock, in milliseconds
   * @returns the outcome; never rejects
   */
  async run(arrival: Arrival, startedAtMs: number): Promise<RequestOutcome> {
    const abortController = new AbortController();
    const timer = setTimeout(
      () => abortController.abort(),
      arrival.work.deadlineMs + this.options.graceMs,
    );
    const progress = new RequestProgress({
      arrival,
      startedAtMs,
      signal: abortController.signal,
      urls: this.#listUrls(),
      checksAnswers: this.options.checksAnswers,
    });
    try {
      const failure = arrival.work.withId ? await this.#assign(progress) : undefined;
      return failure ?? (await this.#sendUntilDone(progress));
    } finally {
      clearTimeout(timer);
    }
  }

  #listUrls(): readonly string[] {
    if (this.#assignedUntilMs < performance.now()) return this.#seedUrls;
    return [...new Set([...this.#assignedUrls, ...this.#seedUrls])];
  }

  /**
   * Requests an ID and the entry hosts to use, with retries; nothing can run meanwhile. Returns
   * the outcome if that fails, and undefined after success.
   */
  async #assign(progress: RequestProgress): Promise<RequestOutcome | undefined> {
    for (let attempt = 0; ; attempt += 1) {
      const url = pickUrl(progress.urls, attempt);
      const result = await this.#send(progress, {
        url: `${url}/v1/requests`,
        method: 'POST',
        headers: { ...progress.buildHeaders(), 'content-type': 'application/json' },
        body: '{}',
      });
      if (result.error && !mustRetryElsewhere(result))
        return progress.buildRefusedOutcome(result, url);
      if (result.ended && !result.error) return this.#applyAssignment(progress, result, url);
      if (attempt + 1 >= MAX_ATTEMPTS || progress.signal.aborted) {
        if (result.error) return progress.buildRefusedOutcome(result, url);
        return progress.buildLostOutcome(`assign_${result.cause ?? 'broken'}`, url);
      }
      await waitBeforeRetry(attempt);
    }
  }

  #applyAssignment(
    progress: RequestProgress,
    result: ExchangeResult,
    url: string,
  ): RequestOutcome | undefined {
    const parsed = assignmentSchema.safeParse(parseJson(result.text));
    if (!parsed.success) return progress.buildLostOutcome('assign_unreadable', url);
    const { id, entryHost, entryHosts, keepMs } = parsed.data;
    this.#assignedUrls = [entryHost.url, ...entryHosts.map((address) => address.url)];
    this.#assignedUntilMs = performance.now() + keepMs;
    progress.setAssignment(id, [...new Set([...this.#assignedUrls, ...this.#seedUrls])]);
    return undefined;
  }

  /** Sends the call, and retries or resumes it at the next entry host when a connection breaks. */
  async #sendUntilDone(progress: RequestProgress): Promise<RequestOutcome> {
    for (let attempt = 0; ; attempt += 1) {
      const url = pickUrl(progress.urls, attempt);
      const result = await this.#sendOrResume(progress, url);
      const isLast = attempt + 1 >= MAX_ATTEMPTS || progress.signal.aborted;
      if (result.scanner?.streamError) return progress.buildRefusedOutcome(result, url);
      if (result.error && (isLast || !mustRetryElsewhere(result))) {
        return progress.buildRefusedOutcome(result, url);
      }
      if (!result.error && result.ended && result.scanner?.isComplete())
        return progress.buildAnsweredOutcome(url);
      if (isLast) {
        return progress.buildLostOutcome(
          progress.signal.aborted ? 'gave_up' : (result.cause ?? 'cut'),
          url,
        );
      }
      await waitBeforeRetry(attempt);
    }
  }

  /**
   * Sends the call under its ID, which makes it safe to repeat. After the head of the answer has
   * arrived, requests only the rest of the answer. A request that the plan sends without an ID may
   * run again, so it starts over.
   */
  #sendOrResume(progress: RequestProgress, url: string): Promise<ExchangeResult> {
    progress.recordAttempt();
    if (!progress.arrival.work.withId) progress.reset();
    if (progress.scanner !== undefined) {
      progress.recordResumption();
      return this.#send(progress, {
        url: `${url}${progress.buildResumePath()}`,
        method: 'GET',
        headers: { authorization: `Bearer ${progress.arrival.account.apiKey}` },
        body: undefined,
        scanner: progress.scanner,
        onFirstByte: () => progress.recordFirstByte(),
      });
    }
    return this.#send(progress, {
      url: `${url}${progress.buildPath()}`,
      method: progress.getMethod(),
      headers: progress.buildHeaders(),
      body: progress.buildBody(),
      mark: progress.getMark(),
      onHead: (headers, scanner) => progress.recordHead(headers, scanner),
      onFirstByte: () => progress.recordFirstByte(),
    });
  }

  #send(
    progress: RequestProgress,
    call: Omit<ExchangeCall, 'agent' | 'signal'>,
  ): Promise<ExchangeResult> {
    return sendExchange({ ...call, agent: this.options.agent, signal: progress.signal });
  }
}

function pickUrl(urls: readonly string[], attempt: number): string {
  return urls[attempt % urls.length] as string;
}

function mustRetryElsewhere(result: ExchangeResult): boolean {
  return RETRY_ELSEWHERE_CODES.has(result.error?.code ?? '');
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function waitBeforeRetry(attempt: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, RETRY_BACKOFF_MS * attempt);
  });
}
