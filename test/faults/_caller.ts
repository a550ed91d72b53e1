/**
 * A minimal caller for fault tests that records the outcome of each call, and a check of these
 * outcomes against the runs that backend servers recorded.
 *
 * @module
 */
import http from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { Fleet } from '../fleet/mod.js';
import type { RunRecord } from '../../standin/mod.js';

/** Outcome of one call, as its caller sees it. */
export interface Outcome {
  /** Request ID; empty if none was sent and the connection broke before a response head. */
  readonly requestId: string;
  /** HTTP status; 0 if the connection broke. */
  readonly status: number;
  readonly text: string;
  /** Field `run` of the error body. */
  readonly run: string | undefined;
  /** Field `code` of the error body. */
  readonly code: string | undefined;
  readonly headers: http.IncomingHttpHeaders;
}

/** Options of one call. */
export interface CallOptions {
  readonly method?: string;
  readonly path: string;
  readonly requestId?: string;
  readonly workKind?: string;
  readonly body?: unknown;
  /** Called with each chunk of the response as it arrives. */
  readonly onChunk?: (text: string) => void;
}

const BROKEN_CONNECTION: Outcome = {
  requestId: '',
  status: 0,
  text: '',
  run: undefined,
  code: undefined,
  headers: {},
};

/** Sends calls for one client account and records their outcomes. */
export class TestCaller {
  readonly outcomes: Outcome[] = [];

  /** @param apiKey - API key of the account */
  constructor(readonly apiKey: string) {}

  /**
   * Requests IDs from the entry hosts in rotation until one is owned by a given entry host.
   *
   * @param fleet - the fleet
   * @param ownerUrl - URL of the required owner
   * @returns the request ID
   */
  async assign(fleet: Fleet, ownerUrl: string): Promise<string> {
    for (let attempt = 0; attempt < 200; attempt += 1) {
      const url = fleet.entryHosts[attempt % fleet.entryHosts.length]?.url ?? '';
      const outcome = await this.send(url, { method: 'POST', path: '/v1/requests' });
      const assignment = JSON.parse(outcome.text) as { id: string; entryHost: { url: string } };
      if (assignment.entryHost.url === ownerUrl) return assignment.id;
    }
    throw new Error(`Cannot get a request ID of ${ownerUrl}`);
  }

  /**
   * Sends one call, reads its response to the end and records the outcome.
   *
   * @param url - URL of an entry host
   * @param options - options of the call
   * @returns the outcome
   */
  async send(url: string, options: CallOptions): Promise<Outcome> {
    const outcome = await this.#exchange(url, options).catch(() => BROKEN_CONNECTION);
    const recorded = { ...outcome, requestId: options.requestId ?? outcome.requestId };
    this.outcomes.push(recorded);
    return recorded;
  }

  /** Sends a call of the work kind `report`, which must not be repeated. */
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
          readOutcome(message, options.onChunk).then(resolve, reject);
        },
      );
      request.on('error', reject);
      request.end(body);
    });
  }
}

/** @returns the options of a streamed call of the work kind `report` */
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
  onChunk: CallOptions['onChunk'],
): Promise<Outcome> {
  let text = '';
  message.setEncoding('utf8');
  for await (const chunk of message) {
    text += String(chunk);
    onChunk?.(String(chunk));
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
 * Finds violations of the guarantees about running: calls that ran more than once, and calls
 * that ran although their caller was told that they did not.
 *
 * @param outcomes - outcomes that callers recorded
 * @param runs - runs that the backend servers recorded
 * @returns one line per violation
 */
export function findViolations(outcomes: readonly Outcome[], runs: readonly RunRecord[]): string[] {
  const counts = new Map<string, number>();
  runs.forEach((run) => counts.set(run.requestId, (counts.get(run.requestId) ?? 0) + 1));
  const duplicateRuns = [...counts]
    .filter(([, count]) => count > 1)
    .map(([id, count]) => `${id} ran ${count} times`);
  const falseRefusals = outcomes
    .filter((outcome) => outcome.run === 'not_run' && counts.has(outcome.requestId))
    .map((outcome) => `${outcome.requestId} ran, and was refused as not run (${outcome.code})`);
  return [...duplicateRuns, ...falseRefusals];
}
