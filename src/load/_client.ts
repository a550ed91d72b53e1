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
import { Journey } from './_journey.js';
import type { RequestOutcome } from './outcome.js';

const MAX_ATTEMPTS = 6;
const RETRY_PAUSE_MS = 50;
/** Refusals that tell a caller to go to another entry host at once; nothing ran. */
const ELSEWHERE_CODES = new Set(['entry_host_stopping', 'too_many_connections']);

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
  readonly firstUrl: number;
  readonly agent: http.Agent;
  /** How long after its deadline a caller still waits, in milliseconds. */
  readonly graceMs: number;
  /** Whether answers must bear their prompts' marks. */
  readonly checksAnswers: boolean;
}

/** One caller: keeps the addresses that it was told for as long as it was told. */
export class LoadClient {
  readonly #seedUrls: readonly string[];

  #keptUrls: readonly string[] = [];

  #keptUntilMs = 0;

  /** @param options - where to start and how long to wait */
  constructor(private readonly options: LoadClientOptions) {
    const { urls, firstUrl } = options;
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
    const giveUp = new AbortController();
    const timer = setTimeout(() => giveUp.abort(), arrival.work.deadlineMs + this.options.graceMs);
    const journey = new Journey({
      arrival,
      startedAtMs,
      signal: giveUp.signal,
      urls: this.#listUrls(),
      checksAnswers: this.options.checksAnswers,
    });
    try {
      const early = arrival.work.withId ? await this.#assign(journey) : undefined;
      return early ?? (await this.#follow(journey));
    } finally {
      clearTimeout(timer);
    }
  }

  #listUrls(): readonly string[] {
    if (this.#keptUntilMs < performance.now()) return this.#seedUrls;
    return [...new Set([...this.#keptUrls, ...this.#seedUrls])];
  }

  /** Asks which entry host to use and for an ID. Nothing can have run meanwhile. */
  async #assign(journey: Journey): Promise<RequestOutcome | undefined> {
    for (let attempt = 0; ; attempt += 1) {
      const url = pickUrl(journey.urls, attempt);
      const result = await this.#send(journey, {
        url: `${url}/v1/requests`,
        method: 'POST',
        headers: { ...journey.buildHeaders(), 'content-type': 'application/json' },
        body: '{}',
      });
      if (result.error && !mustGoElsewhere(result)) return journey.buildRefused(result, url);
      if (result.ended && !result.error) return this.#takeAssignment(journey, result, url);
      if (attempt + 1 >= MAX_ATTEMPTS || journey.signal.aborted) {
        if (result.error) return journey.buildRefused(result, url);
        return journey.buildLost(`assign_${result.cause ?? 'broken'}`, url);
      }
      await waitBeforeRetry(attempt);
    }
  }

  #takeAssignment(
    journey: Journey,
    result: ExchangeResult,
    url: string,
  ): RequestOutcome | undefined {
    const parsed = assignmentSchema.safeParse(parseJson(result.text));
    if (!parsed.success) return journey.buildLost('assign_unreadable', url);
    const { id, entryHost, entryHosts, keepMs } = parsed.data;
    this.#keptUrls = [entryHost.url, ...entryHosts.map((address) => address.url)];
    this.#keptUntilMs = performance.now() + keepMs;
    journey.setAssignment(id, [...new Set([...this.#keptUrls, ...this.#seedUrls])]);
    return undefined;
  }

  /** Sends the call, and takes its answer up elsewhere as often as the way breaks. */
  async #follow(journey: Journey): Promise<RequestOutcome> {
    for (let attempt = 0; ; attempt += 1) {
      const url = pickUrl(journey.urls, attempt);
      const result = await this.#sendOrResume(journey, url);
      const isLast = attempt + 1 >= MAX_ATTEMPTS || journey.signal.aborted;
      if (result.scan?.streamError) return journey.buildRefused(result, url);
      if (result.error && (isLast || !mustGoElsewhere(result))) {
        return journey.buildRefused(result, url);
      }
      if (!result.error && result.ended && result.scan?.isWhole())
        return journey.buildAnswered(url);
      if (isLast) {
        return journey.buildLost(journey.signal.aborted ? 'gave_up' : (result.cause ?? 'cut'), url);
      }
      await waitBeforeRetry(attempt);
    }
  }

  /**
   * Sends the call under its ID, which is safe to repeat; once the answer's
   * head was there, only the rest of the answer is asked for. A bare request
   * is one that may be repeated: it starts over.
   */
  #sendOrResume(journey: Journey, url: string): Promise<ExchangeResult> {
    journey.noteAttempt();
    if (!journey.arrival.work.withId) journey.startOver();
    if (journey.scan !== undefined) {
      journey.noteResumption();
      return this.#send(journey, {
        url: `${url}${journey.buildResumePath()}`,
        method: 'GET',
        headers: { authorization: `Bearer ${journey.arrival.account.apiKey}` },
        body: undefined,
        scan: journey.scan,
        onFirstByte: () => journey.noteFirstByte(),
      });
    }
    return this.#send(journey, {
      url: `${url}${journey.buildPath()}`,
      method: journey.getMethod(),
      headers: journey.buildHeaders(),
      body: journey.buildBody(),
      mark: journey.getMark(),
      onHead: (headers, scan) => journey.noteHead(headers, scan),
      onFirstByte: () => journey.noteFirstByte(),
    });
  }

  #send(journey: Journey, call: Omit<ExchangeCall, 'agent' | 'signal'>): Promise<ExchangeResult> {
    return sendExchange({ ...call, agent: this.options.agent, signal: journey.signal });
  }
}

function pickUrl(urls: readonly string[], attempt: number): string {
  return urls[attempt % urls.length] as string;
}

function mustGoElsewhere(result: ExchangeResult): boolean {
  return ELSEWHERE_CODES.has(result.error?.code ?? '');
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
    setTimeout(resolve, RETRY_PAUSE_MS * attempt);
  });
}
