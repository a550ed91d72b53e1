/**
 * The way back to a caller over Node's `http`.
 *
 * @module
 */
import type { ServerResponse } from 'node:http';
import { buildErrorBody } from '../../domain/errors/mod.js';
import type { SchedulerError } from '../../domain/errors/mod.js';
import { DirectReply } from '../../ports/mod.js';
import type { DirectHead } from '../../ports/mod.js';
import type { DirectDialect } from './direct_dialect.js';

/**
 * Most bytes of an answer that wait for a caller to read them. A caller that
 * stops reading would otherwise fill the memory of the entry host.
 */
const MAX_WAITING_BYTES = 4_194_304;

/** What a reply needs. */
export interface NodeReplyOptions {
  readonly response: ServerResponse;
  readonly dialect: DirectDialect;
  readonly requestId: string | undefined;
  /** Whether the connection must be closed behind this answer. */
  readonly mustClose: () => boolean;
}

/** Writes one answer; after the caller has left every call is harmless. */
export class NodeReply extends DirectReply {
  readonly #options: NodeReplyOptions;

  #isGone = false;

  #hasEnded = false;

  #handler: (() => void) | undefined;

  /** @param options - what the reply needs */
  constructor(options: NodeReplyOptions) {
    super();
    this.#options = options;
    options.response.on('close', () => this.#handleClose());
    // A caller that resets its connection is seen by its close.
    options.response.on('error', () => undefined);
  }

  override get isGone(): boolean {
    return this.#isGone;
  }

  override get hasBegun(): boolean {
    return this.#options.response.headersSent;
  }

  override onGone(handler: () => void): void {
    this.#handler = handler;
    if (this.#isGone) handler();
  }

  override writeHead({ status, headers }: DirectHead): void {
    const { response } = this.#options;
    if (this.#isGone) return;
    // `Date` is set by the backend server, or by nobody.
    response.sendDate = false;
    response.writeHead(status, this.#buildHeaders(headers));
    response.flushHeaders();
  }

  override write(bytes: Buffer): void {
    const { response } = this.#options;
    if (this.#isGone || bytes.length === 0) return;
    response.write(bytes);
    if (response.writableLength > MAX_WAITING_BYTES) this.abort();
  }

  override end(): void {
    if (this.#isGone) return;
    this.#hasEnded = true;
    this.#options.response.end();
  }

  override sendWhole({ status, headers }: DirectHead, body: Buffer): void {
    const { response } = this.#options;
    if (this.#isGone) return;
    this.#hasEnded = true;
    response.sendDate = false;
    const length = ['Content-Length', String(body.length)];
    response.writeHead(status, this.#buildHeaders([...headers, ...length]));
    response.end(body);
  }

  override abort(): void {
    this.#hasEnded = true;
    this.#options.response.destroy();
  }

  override refuse(error: SchedulerError): void {
    const { dialect, requestId } = this.#options;
    const headers = dialect.buildRefusalHeaders(error, requestId);
    const body = Buffer.from(JSON.stringify(buildErrorBody(error)));
    this.sendWhole(
      { status: error.status, headers: ['Content-Type', 'application/json', ...headers] },
      body,
    );
  }

  #buildHeaders(headers: readonly string[]): string[] {
    return this.#options.mustClose() ? [...headers, 'Connection', 'close'] : [...headers];
  }

  #handleClose(): void {
    if (this.#isGone) return;
    this.#isGone = true;
    if (!this.#hasEnded) this.#handler?.();
  }
}
