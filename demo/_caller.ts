/**
 * A caller: asks which entry host to use, sends with a request ID, and goes on
 * through another entry host when a connection breaks.
 *
 * @module
 */
import type { IncomingMessage } from 'node:http';
import type { ClientAccount } from '../test/fleet/mod.js';
import { readBody, sendCall } from './_http_call.js';
import type { Work } from './_work.js';

/** What the system says of a run. */
export type Run = 'not_run' | 'ran' | 'may_have_run';

/** How one request ended for its caller. */
export interface Ending {
  readonly requestId: string;
  /** Answered: the body is whole. Refused: the system said why. Lost: it said nothing. */
  readonly kind: 'answered' | 'refused' | 'lost';
  /** Of an answer: whether it is whole and the request's own. */
  readonly isRight: boolean;
  readonly code: string;
  readonly run: Run;
  readonly retryAfterMs: number;
  readonly firstByteAtMs: number;
  /** How often the caller went on through another entry host. */
  readonly reconnects: number;
}

interface Assignment {
  readonly id: string;
  readonly entryHost: { readonly url: string };
  readonly entryHosts: readonly { readonly url: string }[];
}

interface Refusal {
  readonly code: string;
  readonly run: Run;
  readonly retryAfterMs: number;
}

const ERROR_EVENT_START = 'data: {"error"';
const MAX_CONNECTIONS_PER_REQUEST = 6;
const RECONNECT_PAUSE_MS = 100;
const REMEMBER_REFUSAL_MS = 5000;

/** The caller's own finding: its first connection was refused, so it takes a new ID. */
const NEVER_SENT: Pick<Ending, 'kind' | 'code' | 'run' | 'retryAfterMs'> = {
  kind: 'refused',
  code: 'never_sent',
  run: 'not_run',
  retryAfterMs: RECONNECT_PAUSE_MS,
};

function isConnectionRefused(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

function parseRefusal(text: string): Refusal {
  const { error } = JSON.parse(text) as { error: Refusal };
  return { code: error.code, run: error.run, retryAfterMs: error.retryAfterMs };
}

/** What has come of one request's answer, over all its connections. */
class Receiving {
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

  /** URL of the entry host to be tried next. */
  get url(): string {
    return this.urls[this.connections % this.urls.length] as string;
  }

  /** Builds the path that goes on where the answer stands. */
  buildResumePath(): string {
    const query = new URLSearchParams({
      offset: String(this.bytes.length),
      backendServer: this.backendServer,
      streamId: this.streamId,
    });
    return `/v1/requests/${this.requestId}?${query}`;
  }

  /** Takes a head's hints, which let another entry host resume the stream. */
  noteHead(response: IncomingMessage): void {
    this.hasHead = true;
    this.backendServer = String(response.headers['backend-server'] ?? this.backendServer);
    this.streamId = String(response.headers['stream-id'] ?? this.streamId);
  }

  /**
   * Adds what one connection brought.
   *
   * @returns the refusal that ended an event stream, if one did
   */
  add(bytes: Buffer): Refusal | undefined {
    const text = bytes.toString();
    const start = text.lastIndexOf(ERROR_EVENT_START);
    const atEventStart = start === 0 || text.slice(start - 2, start) === '\n\n';
    const refused = start >= 0 && atEventStart;
    const kept = refused ? Buffer.from(text.slice(0, start)) : bytes;
    this.bytes = Buffer.concat([this.bytes, kept]);
    return refused ? parseRefusal(text.slice(start + 'data: '.length)) : undefined;
  }
}

/** Sends the work of one client account. */
export class Caller {
  /** When an entry host last refused a connection, by its URL. */
  readonly #refusedAtMs = new Map<string, number>();

  /**
   * @param account - whose work
   * @param urls - base URLs of the entry hosts that it knows from its settings
   */
  constructor(
    readonly account: ClientAccount,
    readonly urls: readonly string[],
  ) {}

  /**
   * Sends one piece of work under an ID of its own.
   *
   * @param work - what to send
   * @param signal - ends the wait; the request counts as lost then
   * @returns how it ended
   */
  async send(work: Work, signal: AbortSignal): Promise<Ending> {
    const assignment = await this.#assign(work.number, signal).catch(() => undefined);
    if (!assignment) return this.#buildEnding(new Receiving('', ['']), { kind: 'lost' });
    const others = assignment.entryHosts.map((host) => host.url);
    const receiving = new Receiving(assignment.id, [assignment.entryHost.url, ...others]);
    let refusal: Refusal | undefined;
    while (receiving.connections < MAX_CONNECTIONS_PER_REQUEST && !signal.aborted) {
      try {
        const result = await this.#sendOnce(work, receiving, signal);
        if (result === 'whole') return this.#checkAnswer(work, receiving);
        refusal = result ?? refusal;
        if (refusal && !this.#mayResume(refusal, receiving)) break;
      } catch (error) {
        // Refused connections take no bytes: an ID that was never sent never runs.
        if (receiving.connections === 0 && isConnectionRefused(error)) {
          this.#refusedAtMs.set(receiving.url, performance.now());
          return this.#buildEnding(receiving, NEVER_SENT);
        }
        // The connection broke before the head: the next entry host is asked.
      }
      receiving.connections += 1;
      await waitFor(RECONNECT_PAUSE_MS);
    }
    return this.#buildEnding(
      receiving,
      refusal ? { kind: 'refused', ...refusal } : { kind: 'lost' },
    );
  }

  /** Any entry host can be asked, as often as needed: asking runs nothing. */
  async #assign(number: number, signal: AbortSignal): Promise<Assignment> {
    for (let tries = 0; !signal.aborted; tries += 1) {
      const url = this.urls[(number + tries) % this.urls.length] as string;
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
          if (!this.#isRefusing(assignment.entryHost.url)) return assignment;
        }
      } catch {
        // That entry host is gone: the next one is asked.
      }
      await waitFor(RECONNECT_PAUSE_MS);
    }
    throw new Error('Cannot get a request ID');
  }

  /** An ID whose owner refuses connections is left unused, and another is asked for. */
  #isRefusing(url: string): boolean {
    return performance.now() - (this.#refusedAtMs.get(url) ?? -Infinity) < REMEMBER_REFUSAL_MS;
  }

  /** A broken answer goes on elsewhere when the caller knows where it runs. */
  #mayResume(refusal: Refusal, receiving: Receiving): boolean {
    return refusal.run !== 'not_run' && receiving.streamId !== '' && receiving.connections < 2;
  }

  /** The same ID may be sent again to any entry host: only its owner dispatches it, once. */
  async #sendOnce(
    work: Work,
    receiving: Receiving,
    signal: AbortSignal,
  ): Promise<Refusal | 'whole' | undefined> {
    const { hasHead } = receiving;
    const path = hasHead ? receiving.buildResumePath() : work.path;
    const response = await sendCall({
      url: `${receiving.url}${path}`,
      method: hasHead ? 'GET' : work.method,
      headers: this.#buildHeaders(work, receiving.requestId),
      body: hasHead ? undefined : work.body,
      signal,
    });
    if (response.statusCode !== 200) {
      return parseRefusal((await readBody(response)).bytes.toString());
    }
    receiving.noteHead(response);
    const { bytes, isBroken } = await readBody(response, () => {
      Object.assign(receiving, { firstByteAtMs: receiving.firstByteAtMs || performance.now() });
    });
    return receiving.add(bytes) ?? (isBroken ? undefined : 'whole');
  }

  #buildHeaders(work?: Work, requestId?: string): Record<string, string> {
    const headers: Record<string, string> = { authorization: `Bearer ${this.account.apiKey}` };
    if (requestId) headers['request-id'] = requestId;
    if (work) headers['work-kind'] = work.kind;
    if (work?.body) headers['content-type'] = 'application/json';
    return headers;
  }

  #checkAnswer(work: Work, receiving: Receiving): Ending {
    let isRight = false;
    try {
      isRight = work.isAnsweredBy(receiving.bytes.toString());
    } catch {
      // What can't be parsed is torn.
    }
    return this.#buildEnding(receiving, { kind: 'answered', isRight, run: 'ran' });
  }

  #buildEnding(receiving: Receiving, facts: Partial<Ending> & Pick<Ending, 'kind'>): Ending {
    return {
      requestId: receiving.requestId,
      isRight: false,
      code: '',
      run: 'may_have_run',
      retryAfterMs: 0,
      firstByteAtMs: receiving.firstByteAtMs,
      reconnects: receiving.connections,
      ...facts,
    };
  }
}
