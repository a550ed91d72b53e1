/**
 * Client of the entry hosts. It obtains a request ID, sends the request to the ID's owner, and fails
 * over to another entry host when a connection breaks.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http';
import type { ClientAccount } from '../test/fleet/mod.js';
import { readBody, sendCall } from './_http_call.js';
import type { Work } from './_work.js';

/** What a refusal states about whether the request ran. */
export type RunStatus = 'not_run' | 'ran' | 'may_have_run';

/** Outcome of one request from its caller's point of view. */
export interface RequestOutcome {
  readonly requestId: string;
  /**
   * Answered: the body is complete. Refused: an error response states the reason. Lost: neither
   * arrived in time.
   */
  readonly kind: 'answered' | 'refused' | 'lost';
  /** Whether an answered request received its own, complete answer. */
  readonly isCorrect: boolean;
  /** Error code of a refusal; empty otherwise. */
  readonly code: string;
  readonly run: RunStatus;
  /** Backoff that a refusal asks for; 0 if the request is not worth retrying. */
  readonly retryAfterMs: number;
  /** Monotonic time of the first response byte; 0 if none arrived. */
  readonly firstByteAtMs: number;
  /** Number of times that the caller reconnected. */
  readonly reconnects: number;
}

/** Response to a request for an ID: the ID's owner, and other entry hosts for failover. */
interface Assignment {
  readonly id: string;
  readonly entryHost: { readonly url: string };
  readonly entryHosts: readonly { readonly url: string }[];
}

/** Error body of a refused request. */
interface Refusal {
  readonly code: string;
  readonly run: RunStatus;
  readonly retryAfterMs: number;
}

/** Start of the event with which a stream reports a refusal. */
const ERROR_EVENT_START = 'data: {"error"';
const MAX_CONNECTIONS_PER_REQUEST = 6;
const RECONNECT_DELAY_MS = 100;
/** Time for which IDs are not used if their owner refused a connection. */
const AVOID_REFUSING_HOST_MS = 5000;

/** Outcome of a request whose first connection was refused: the caller retries with a new ID. */
const NEVER_SENT: Pick<RequestOutcome, 'kind' | 'code' | 'run' | 'retryAfterMs'> = {
  kind: 'refused',
  code: 'never_sent',
  run: 'not_run',
  retryAfterMs: RECONNECT_DELAY_MS,
};

function isConnectionRefused(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

function parseRefusal(text: string): Refusal {
  const { error } = JSON.parse(text) as { error: Refusal };
  return { code: error.code, run: error.run, retryAfterMs: error.retryAfterMs };
}

/** The part of a response that has been received so far, across all connections of a request. */
class PartialResponse {
  bytes: Buffer = Buffer.alloc(0);

  backendServer = '';

  streamId = '';

  hasHead = false;

  firstByteAtMs = 0;

  connections = 0;

  constructor(
    readonly requestId: string,
    readonly urls: readonly string[],
  ) {}

  /** URL of the entry host for the next connection. */
  get url(): string {
    return this.urls[this.connections % this.urls.length] as string;
  }

  /** Builds the path that resumes the response after the bytes received so far. */
  buildResumePath(): string {
    const query = new URLSearchParams({
      offset: String(this.bytes.length),
      backendServer: this.backendServer,
      streamId: this.streamId,
    });
    return `/v1/requests/${this.requestId}?${query}`;
  }

  /** Records the response headers with which another entry host can resume the stream. */
  recordHead(response: IncomingMessage): void {
    this.hasHead = true;
    this.backendServer = String(response.headers['backend-server'] ?? this.backendServer);
    this.streamId = String(response.headers['stream-id'] ?? this.streamId);
  }

  /**
   * Appends the bytes that one connection received.
   *
   * @returns the refusal in the error event that ended the stream; undefined if there was none
   */
  append(bytes: Buffer): Refusal | undefined {
    const text = bytes.toString();
    const start = text.lastIndexOf(ERROR_EVENT_START);
    const isAtEventStart = start === 0 || text.slice(start - 2, start) === '\n\n';
    const isRefused = start >= 0 && isAtEventStart;
    const bodyBytes = isRefused ? Buffer.from(text.slice(0, start)) : bytes;
    this.bytes = Buffer.concat([this.bytes, bodyBytes]);
    return isRefused ? parseRefusal(text.slice(start + 'data: '.length)) : undefined;
  }
}

/** Sends the requests of one client account. */
export class Caller {
  /** When each entry host last refused a connection, by URL. */
  readonly #refusedAtMs = new Map<string, number>();

  /**
   * @param account - the client account to authenticate as
   * @param urls - configured base URLs of the entry hosts
   */
  constructor(
    readonly account: ClientAccount,
    readonly urls: readonly string[],
  ) {}

  /**
   * Sends one piece of work under a new request ID.
   *
   * @param work - the work to send
   * @param signal - aborts the request, which then counts as lost
   * @returns the outcome
   */
  async send(work: Work, signal: AbortSignal): Promise<RequestOutcome> {
    const assignment = await this.#acquireAssignment(work.number, signal).catch(() => undefined);
    if (!assignment) return this.#buildOutcome(new PartialResponse('', ['']), { kind: 'lost' });
    const others = assignment.entryHosts.map((host) => host.url);
    const partial = new PartialResponse(assignment.id, [assignment.entryHost.url, ...others]);
    let refusal: Refusal | undefined;
    while (partial.connections < MAX_CONNECTIONS_PER_REQUEST && !signal.aborted) {
      try {
        const result = await this.#sendOnce(work, partial, signal);
        if (result === 'whole') return this.#checkAnswer(work, partial);
        refusal = result ?? refusal;
        if (refusal && !this.#mayResume(refusal, partial)) break;
      } catch (error) {
        // A refused connection transfers no bytes, so a request with this ID can't have run.
        if (partial.connections === 0 && isConnectionRefused(error)) {
          this.#refusedAtMs.set(partial.url, performance.now());
          return this.#buildOutcome(partial, NEVER_SENT);
        }
        // The connection broke before the response head: try the next entry host.
      }
      partial.connections += 1;
      await sleep(RECONNECT_DELAY_MS);
    }
    return this.#buildOutcome(
      partial,
      refusal ? { kind: 'refused', ...refusal } : { kind: 'lost' },
    );
  }

  /**
   * Obtains a request ID. Any entry host can issue one, and retrying is safe because issuing an ID
   * runs nothing.
   */
  async #acquireAssignment(number: number, signal: AbortSignal): Promise<Assignment> {
    for (let attempt = 0; !signal.aborted; attempt += 1) {
      const url = this.urls[(number + attempt) % this.urls.length] as string;
      try {
        const headers = this.#buildHeaders();
        const response = await sendCall({
          url: `${url}/v1/requests`,
          method: 'POST',
          headers,
          signal,
        });
        const { bytes } = await readBody(response);
        if (response.statusCode === 200 || response.statusCode === 201) {
          const assignment = JSON.parse(bytes.toString()) as Assignment;
          if (!this.#hasRecentlyRefused(assignment.entryHost.url)) return assignment;
        }
      } catch {
        // This entry host is unreachable: try the next one.
      }
      await sleep(RECONNECT_DELAY_MS);
    }
    throw new Error('Cannot get a request ID');
  }

  /**
   * Whether an entry host refused a connection recently. An ID that it owns is discarded in favor of
   * a new one.
   */
  #hasRecentlyRefused(url: string): boolean {
    return performance.now() - (this.#refusedAtMs.get(url) ?? -Infinity) < AVOID_REFUSING_HOST_MS;
  }

  /** Whether a refused stream may resume at another entry host, which needs the stream's ID. */
  #mayResume(refusal: Refusal, partial: PartialResponse): boolean {
    return refusal.run !== 'not_run' && partial.streamId !== '' && partial.connections < 2;
  }

  /**
   * Sends the request or resumes its response over one connection. Any entry host accepts a repeated
   * ID, since only its owner dispatches it, and only once.
   */
  async #sendOnce(
    work: Work,
    partial: PartialResponse,
    signal: AbortSignal,
  ): Promise<Refusal | 'whole' | undefined> {
    const { hasHead } = partial;
    const path = hasHead ? partial.buildResumePath() : work.path;
    const response = await sendCall({
      url: `${partial.url}${path}`,
      method: hasHead ? 'GET' : work.method,
      headers: this.#buildHeaders(work, partial.requestId),
      body: hasHead ? undefined : work.body,
      signal,
    });
    if (response.statusCode !== 200) {
      return parseRefusal((await readBody(response)).bytes.toString());
    }
    partial.recordHead(response);
    const { bytes, isBroken } = await readBody(response, () => {
      Object.assign(partial, { firstByteAtMs: partial.firstByteAtMs || performance.now() });
    });
    return partial.append(bytes) ?? (isBroken ? undefined : 'whole');
  }

  #buildHeaders(work?: Work, requestId?: string): Record<string, string> {
    const headers: Record<string, string> = { authorization: `Bearer ${this.account.apiKey}` };
    if (requestId) headers['request-id'] = requestId;
    if (work) headers['work-kind'] = work.kind;
    if (work?.body) headers['content-type'] = 'application/json';
    return headers;
  }

  #checkAnswer(work: Work, partial: PartialResponse): RequestOutcome {
    let isCorrect = false;
    try {
      isCorrect = work.isCorrectAnswer(partial.bytes.toString());
    } catch {
      // A body that can't be parsed is truncated.
    }
    return this.#buildOutcome(partial, { kind: 'answered', isCorrect, run: 'ran' });
  }

  #buildOutcome(
    partial: PartialResponse,
    changes: Partial<RequestOutcome> & Pick<RequestOutcome, 'kind'>,
  ): RequestOutcome {
    return {
      requestId: partial.requestId,
      isCorrect: false,
      code: '',
      run: 'may_have_run',
      retryAfterMs: 0,
      firstByteAtMs: partial.firstByteAtMs,
      reconnects: partial.connections,
      ...changes,
    };
  }
}
