/**
 * A caller for the tests of failures: small, and it keeps what it was told.
 *
 * @module
 */
import http from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { Fleet } from '../fleet/mod.js';
import type { RunRecord } from '../../standin/mod.js';

/** What a caller was told of one call. */
export interface Outcome {
  /** Empty where the connection broke before a head. */
  readonly requestId: string;
  /** HTTP status; 0 where the connection broke. */
  readonly status: number;
  readonly text: string;
  /** `run` of the error's body. */
  readonly run: string | undefined;
  /** `code` of the error's body. */
  readonly code: string | undefined;
  readonly headers: http.IncomingHttpHeaders;
}

/** One call. */
export interface CallOptions {
  readonly method?: string;
  readonly path: string;
  readonly requestId?: string;
  readonly workKind?: string;
  readonly body?: unknown;
  /** Called with each part of the answer as it comes. */
  readonly onPart?: (text: string) => void;
}

const BROKEN: Outcome = {
  requestId: '',
  status: 0,
  text: '',
  run: undefined,
  code: undefined,
  headers: {},
};

/** Sends calls of one account. */
export class TestCaller {
  readonly outcomes: Outcome[] = [];

  /** @param apiKey - the account's key */
  constructor(readonly apiKey: string) {}

  /**
   * Asks an entry host for an ID until a given host owns it.
   *
   * @param fleet - the fleet
   * @param ownerUrl - URL of the owner that is wanted
   * @returns the ID
   */
  async assign(fleet: Fleet, ownerUrl: string): Promise<string> {
    for (let attempt = 0; attempt < 200; attempt += 1) {
      const url = fleet.entryHosts[attempt % fleet.entryHosts.length]?.url ?? '';
      const outcome = await this.send(url, { method: 'POST', path: '/v1/requests' });
      const answer = JSON.parse(outcome.text) as { id: string; entryHost: { url: string } };
      if (answer.entryHost.url === ownerUrl) return answer.id;
    }
    throw new Error(`Cannot get a request ID of ${ownerUrl}`);
  }

  /**
   * Sends one call and reads its answer to the end.
   *
   * @param url - an entry host's URL
   * @param options - the call
   * @returns what it was told
   */
  async send(url: string, options: CallOptions): Promise<Outcome> {
    const outcome = await this.#exchange(url, options).catch(() => BROKEN);
    const told = { ...outcome, requestId: options.requestId ?? outcome.requestId };
    this.outcomes.push(told);
    return told;
  }

  /** Sends a report to be written: it must not be repeated. */
  sendReport(url: string, requestId: string, text: string, maxTokens = 20): Promise<Outcome> {
    return this.send(url, buildReport(requestId, text, maxTokens));
  }

  #exchange(url: string, options: CallOptions): Promise<Outcome> {
    const body = options.body === undefined ? undefined : JSON.stringify(options.body);
    return new Promise((resolve, reject) => {
      const request = http.request(
        new URL(options.path, url),
        {
          method: options.method ?? (body === undefined ? 'GET' : 'POST'),
          agent: false,
          headers: {
            authorization: `Bearer ${this.apiKey}`,
            ...(body === undefined ? {} : { 'content-type': 'application/json' }),
            ...(options.requestId === undefined ? {} : { 'request-id': options.requestId }),
            ...(options.workKind === undefined ? {} : { 'work-kind': options.workKind }),
          },
        },
        (message) => {
          readOutcome(message, options.onPart).then(resolve, reject);
        },
      );
      request.on('error', reject);
      request.end(body);
    });
  }
}

/** @returns a report's call, streamed */
export function buildReport(requestId: string, text: string, maxTokens: number): CallOptions {
  return {
    path: '/v1/chat/completions',
    requestId,
    workKind: 'report',
    body: {
      model: 'monsoon-draft',
      messages: [{ role: 'user', content: text }],
      max_tokens: maxTokens,
      stream: true,
    },
  };
}

async function readOutcome(
  message: IncomingMessage,
  onPart: CallOptions['onPart'],
): Promise<Outcome> {
  let text = '';
  message.setEncoding('utf8');
  for await (const part of message) {
    text += String(part);
    onPart?.(String(part));
  }
  const error = parseError(message.statusCode ?? 0, text);
  return {
    requestId: String(message.headers['request-id'] ?? ''),
    status: message.statusCode ?? 0,
    text,
    run: error?.run,
    code: error?.code,
    headers: message.headers,
  };
}

function parseError(status: number, text: string): { run: string; code: string } | undefined {
  if (status < 400) return undefined;
  try {
    return (JSON.parse(text) as { error?: { run: string; code: string } }).error;
  } catch {
    return undefined;
  }
}

/**
 * Names each promise about running that the outcomes broke.
 *
 * @param outcomes - what callers were told
 * @param runs - what the backend servers recorded
 * @returns a line for each broken promise
 */
export function findBroken(outcomes: readonly Outcome[], runs: readonly RunRecord[]): string[] {
  const counts = new Map<string, number>();
  runs.forEach((run) => counts.set(run.requestId, (counts.get(run.requestId) ?? 0) + 1));
  const doubles = [...counts]
    .filter(([, count]) => count > 1)
    .map(([id, count]) => `${id} ran ${count} times`);
  const lies = outcomes
    .filter((outcome) => outcome.run === 'not_run' && counts.has(outcome.requestId))
    .map((outcome) => `${outcome.requestId} ran, and was refused as not run (${outcome.code})`);
  return [...doubles, ...lies];
}
