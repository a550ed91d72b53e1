/**
 * A caller of the load tool: asks for an ID, sends, resumes, and tells what
 * became of the request.
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
const RETRY_BACKOFF_MS = 50;
/** Refusals that tell a caller to go to another entry host at once; nothing ran. */
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
  /** Index of the address to begin with; spreads callers over the entry hosts. */
  readonly firstUrlIndex: number;
  readonly agent: http.Agent;
  /** How long after its deadline a caller still waits, in milliseconds. */
  readonly graceMs: number;
  /** Whether answers must bear their prompts' marks. */
  readonly checksAnswers: boolean;
}

/** One caller: keeps the addresses that it was told for as long as it was told. */
export class LoadClient {
  readonly #seedUrls: readonly string[];

  #assignedUrls: readonly string[] = [];

  #assignedUntilMs = 0;

  /** @param options - where to start and how long to wait */
  constructor(private readonly options: LoadClientOptions) {
    const { urls, firstUrlIndex: firstUrl } = options;
    this.#seedUrls = urls.map((_, index) => urls[(index + firstUrl) % urls.length] as string);
  }

  /**
   * Sends one request and follows it to its end.
   *
   * @param arrival - what to send
   * @param startedAtMs - when it arrived, on the monotonic clock
   * @returns what became of it; never rejects
   */
  async run(arrival: Arrival, startedAtMs: number): Promise<RequestOutcome> {
    const abort = new AbortController();
    const timer = setTimeout(() => abort.abort(), arrival.work.deadlineMs + this.options.graceMs);
    const progress = new RequestProgress({
      arrival,
      startedAtMs,
      signal: abort.signal,
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

  /** Asks which entry host to use and for an ID. Nothing can have run meanwhile. */
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
      if (result.isBodyComplete && !result.error)
        return this.#applyAssignment(progress, result, url);
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

  /** Sends the call, and takes its answer up elsewhere as often as the way breaks. */
  async #sendUntilDone(progress: RequestProgress): Promise<RequestOutcome> {
    for (let attempt = 0; ; attempt += 1) {
      const url = pickUrl(progress.urls, attempt);
      const result = await this.#sendOrResume(progress, url);
      const isLast = attempt + 1 >= MAX_ATTEMPTS || progress.signal.aborted;
      if (result.scan?.streamError) return progress.buildRefusedOutcome(result, url);
      if (result.error && (isLast || !mustRetryElsewhere(result))) {
        return progress.buildRefusedOutcome(result, url);
      }
      if (!result.error && result.isBodyComplete && result.scan?.isComplete())
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
   * Sends the call under its ID, which is safe to repeat; once the answer's
   * head was there, only the rest of the answer is asked for. A bare request
   * is one that may be repeated: it starts over.
   */
  #sendOrResume(progress: RequestProgress, url: string): Promise<ExchangeResult> {
    progress.recordAttempt();
    if (!progress.arrival.work.withId) progress.reset();
    if (progress.scan !== undefined) {
      progress.recordResumption();
      return this.#send(progress, {
        url: `${url}${progress.buildResumePath()}`,
        method: 'GET',
        headers: { authorization: `Bearer ${progress.arrival.account.apiKey}` },
        body: undefined,
        scan: progress.scan,
        onFirstByte: () => progress.recordFirstByte(),
      });
    }
    return this.#send(progress, {
      url: `${url}${progress.buildPath()}`,
      method: progress.getMethod(),
      headers: progress.buildHeaders(),
      body: progress.buildBody(),
      mark: progress.getMark(),
      onHead: (headers, scan) => progress.recordHead(headers, scan),
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
