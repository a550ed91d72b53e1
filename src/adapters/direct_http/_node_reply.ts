/**
 * Writes answers to callers over Node's `http`.
 *
 * @module
 */
import type { ServerResponse } from 'node:http';
import { buildErrorBody } from '../../domain/errors/mod.js';
import type { SchedulerError } from '../../domain/errors/mod.js';
import { DirectReply } from '../../ports/mod.js';
import type { DirectHead } from '../../ports/mod.js';
import type { BufferBudget, BufferHolder } from './_buffer_budget.js';
import type { DirectDialect } from './direct_dialect.js';

/**
 * Most bytes of an answer that are buffered for a caller, here 4 MiB. A caller that stops
 * reading would otherwise fill the memory of the entry host.
 */
const MAX_BUFFERED_BYTES = 4_194_304;

/** Events of a connection whose caller has closed or reset it. */
const DEPARTURE_EVENTS = ['end', 'error'];

/** Options of {@link NodeReply}. */
export interface NodeReplyOptions {
  readonly response: ServerResponse;
  readonly dialect: DirectDialect;
  /** Counts the bytes of answers that wait for all callers. */
  readonly unsent: BufferBudget;
  readonly requestId: string | undefined;
  /** Whether the connection must be closed after this answer. */
  readonly mustClose: () => boolean;
  /**
   * Called when the answer is broken off as its caller doesn't read it.
   *
   * @param bufferedBytes - bytes of the answer that wait for the caller
   */
  readonly onCallerTooSlow: (bufferedBytes: number) => void;
}

/** Writes one answer; once the caller has disconnected, writes have no effect. */
export class NodeReply extends DirectReply implements BufferHolder {
  readonly #options: NodeReplyOptions;

  #isDisconnected = false;

  #hasEnded = false;

  /** Whether the end of the answer is marked for the caller. */
  #isMarked = true;

  #disconnectHandler: (() => void) | undefined;

  /** @param options - the response to write to, and its properties */
  constructor(options: NodeReplyOptions) {
    super();
    this.#options = options;
    const { socket } = options.response.req;
    const handleEnd = (): void => this.#handleClose();
    // Node closes the answer to a caller that has left some turns later.
    DEPARTURE_EVENTS.forEach((event) => socket.on(event, handleEnd));
    options.response.on('close', () => {
      DEPARTURE_EVENTS.forEach((event) => socket.off(event, handleEnd));
      options.unsent.set(this, 0);
      this.#handleClose();
    });
    // A reset by the caller also emits 'close', which is handled above.
    options.response.on('error', () => undefined);
  }

  override get isDisconnected(): boolean {
    return this.#isDisconnected;
  }

  override get hasStarted(): boolean {
    return this.#options.response.headersSent;
  }

  override onDisconnect(handler: () => void): void {
    this.#disconnectHandler = handler;
    if (this.#isDisconnected) handler();
  }

  override writeHead(head: DirectHead): void {
    const { response } = this.#options;
    if (this.#isDisconnected) return;
    this.#startHead(head);
    response.writeHead(head.status, this.#buildHeaders(head.headers));
    response.flushHeaders();
  }

  override write(bytes: Buffer): void {
    const { response } = this.#options;
    if (this.#isDisconnected || bytes.length === 0) return;
    response.write(bytes);
    if (response.writableLength > MAX_BUFFERED_BYTES && !this.#hasEnded) this.drop();
    else this.#countUnsent();
  }

  measureBytes(): number {
    return this.#options.response.writableLength;
  }

  drop(): void {
    if (this.#isDisconnected) return;
    this.#options.onCallerTooSlow(this.measureBytes());
    this.#breakOff();
    this.#handleClose();
  }

  /** Counts what waits for this caller, and breaks off the largest answers if all have too much. */
  #countUnsent(): void {
    const { unsent } = this.#options;
    unsent.set(this, this.measureBytes());
    unsent.enforce();
  }

  override end(): void {
    if (this.#isDisconnected) return;
    this.#hasEnded = true;
    this.#options.response.end();
    this.#countUnsent();
  }

  override sendAnswer(head: DirectHead, body: Buffer): void {
    const { response } = this.#options;
    if (this.#isDisconnected) return;
    this.#hasEnded = true;
    this.#startHead(head);
    const length = head.isFramed ? ['Content-Length', String(body.length)] : [];
    response.writeHead(head.status, this.#buildHeaders([...head.headers, ...length]));
    response.end(body);
    this.#countUnsent();
  }

  override abort(): void {
    this.#hasEnded = true;
    this.#breakOff();
  }

  #breakOff(): void {
    const { response } = this.#options;
    // Without a mark, only a reset differs from the end of the answer.
    if (response.headersSent && !this.#isMarked) response.socket?.resetAndDestroy();
    response.destroy();
  }

  override sendError(error: SchedulerError): void {
    const { dialect, requestId } = this.#options;
    const headers = dialect.buildRefusalHeaders(error, requestId);
    const body = Buffer.from(JSON.stringify(buildErrorBody(error)));
    this.sendAnswer(
      {
        status: error.status,
        headers: ['Content-Type', 'application/json', ...headers],
        isFramed: true,
      },
      body,
    );
  }

  #startHead({ isFramed }: DirectHead): void {
    const { response } = this.#options;
    // The `Date` header, if any, comes from the backend server.
    response.sendDate = false;
    // HTTP/1.0 has no chunks.
    this.#isMarked = isFramed && response.req.httpVersion !== '1.0';
    if (!isFramed) response.useChunkedEncodingByDefault = false;
  }

  #buildHeaders(headers: readonly string[]): string[] {
    return this.#options.mustClose() || !this.#isMarked
      ? [...headers, 'Connection', 'close']
      : [...headers];
  }

  #handleClose(): void {
    if (this.#isDisconnected) return;
    this.#isDisconnected = true;
    if (!this.#hasEnded) this.#disconnectHandler?.();
  }
}
