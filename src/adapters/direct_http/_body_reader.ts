/**
 * Reads the bodies of callers' requests, within one limit for all of them.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { ByteBudget } from '../../domain/memory/mod.js';
import type { DirectReply } from '../../ports/mod.js';
import { discardBody, JoinedParts, MIN_DISCARDED_BYTES } from '../http_common/mod.js';

/** Time within which a body normally arrives, in milliseconds; a slower one gives way to others. */
const USUAL_BODY_MS = 5_000;

/** Longest body, in bytes, that may use the reserve, so that few long ones don't keep out all others. */
const SMALL_BODY_BYTES = 65_536;

/** Part of the limit that is kept for small bodies. */
const SMALL_RESERVE_SHARE = 1 / 5;

/** A request whose body is read. */
export interface BodyRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly reply: DirectReply;
  readonly maxBodyBytes: number;
}

/**
 * Called when the refused body of a request goes on beyond what is discarded. Must stop the input of
 * its connection.
 */
export type ExceededBodyHandler = (request: IncomingMessage) => void;

/** A body of which parts have been read. */
class PartialBody {
  readonly parts = new JoinedParts();

  readonly beganAtMs = performance.now();

  readonly #request: BodyRequest;

  readonly #onExceeded: ExceededBodyHandler;

  readonly #partListener: (part: Buffer) => void;

  #isRefused = false;

  /**
   * @param request - the request of the body
   * @param onPart - called with each part until the body is refused
   * @param onExceeded - called when the body goes on after it was refused
   */
  constructor(
    request: BodyRequest,
    onPart: (part: Buffer) => void,
    onExceeded: ExceededBodyHandler,
  ) {
    this.#request = request;
    this.#onExceeded = onExceeded;
    this.#partListener = onPart;
    request.message.on('data', this.#partListener);
  }

  /** Whether further parts are discarded. */
  get isOver(): boolean {
    return this.#isRefused || this.#request.reply.isDisconnected;
  }

  refuse(error: SchedulerError): void {
    const { message, reply, maxBodyBytes } = this.#request;
    this.#isRefused = true;
    message.off('data', this.#partListener);
    reply.sendError(error);
    // The rest of a body inside the limit is read, so that its caller can use the connection again.
    const bytesLeft = maxBodyBytes - this.parts.length;
    discardBody(message, {
      maxBytes: Math.max(bytesLeft, MIN_DISCARDED_BYTES),
      mayBeSound: error.kind !== ErrorKind.BodyTooLarge,
      onExceeded: () => this.#onExceeded(message),
    });
  }
}

/**
 * Reads bodies, and refuses those beyond the limit. Limits for single bodies don't bound their
 * sum: a few hundred callers would use up the memory of a small host, and its process would end
 * with all calls. A body counts until its answer is closed, as the call may be sent once more.
 */
export class BodyReader {
  readonly #budget: ByteBudget;

  readonly #onExceeded: ExceededBodyHandler;

  /** Bodies that have not arrived completely, in the order in which they began. */
  readonly #incomplete = new Set<PartialBody>();

  /**
   * @param budget - counts the bytes of all bodies together; a part of it is kept for small ones
   * @param onExceeded - called when a refused body goes on
   */
  constructor(budget: ByteBudget, onExceeded: ExceededBodyHandler = () => undefined) {
    this.#budget = budget;
    this.#onExceeded = onExceeded;
  }

  /**
   * Reads a body; one beyond a limit is refused, and the rest of it is discarded.
   *
   * @param request - the request
   * @param onComplete - called with the complete body, unless the caller has left
   */
  read(request: BodyRequest, onComplete: (body: Buffer) => void): void {
    const { message, response, maxBodyBytes } = request;
    const body: PartialBody = new PartialBody(
      request,
      (part) => this.#append(body, part, maxBodyBytes),
      this.#onExceeded,
    );
    this.#incomplete.add(body);
    response.on('close', () => this.#release(body));
    message.on('end', () => {
      this.#incomplete.delete(body);
      if (!body.isOver) onComplete(body.parts.join());
    });
    if (Number(message.headers['content-length'] ?? 0) > maxBodyBytes)
      this.#refuse(body, new SchedulerError(ErrorKind.BodyTooLarge));
  }

  #append(body: PartialBody, part: Buffer, maxBodyBytes: number): void {
    if (body.isOver) return;
    const { parts } = body;
    if (parts.length + part.length > maxBodyBytes) {
      this.#refuse(body, new SchedulerError(ErrorKind.BodyTooLarge));
      return;
    }
    const formerBytes = parts.sizeBytes;
    parts.append(part);
    this.#budget.add(parts.sizeBytes - formerBytes);
    const limitBytes = this.#getLimit(parts.length);
    while (this.#budget.usedBytes > limitBytes && !body.isOver) this.#makeRoom(body);
  }

  #getLimit(length: number): number {
    const isSmall = length <= SMALL_BODY_BYTES;
    return this.#budget.maxBytes * (isSmall ? 1 : 1 - SMALL_RESERVE_SHARE);
  }

  /** Refuses the body that arrives, unless another one has taken longer than usual. */
  #makeRoom(arriving: PartialBody): void {
    const [oldest = arriving] = this.#incomplete;
    const isSlow = performance.now() - oldest.beganAtMs > USUAL_BODY_MS;
    this.#refuse(
      isSlow ? oldest : arriving,
      new SchedulerError(ErrorKind.TooManyConnections, {
        message: 'Cannot accept the body: the buffered bodies of all callers exceed the limit',
      }),
    );
  }

  #refuse(body: PartialBody, error: SchedulerError): void {
    this.#release(body);
    body.refuse(error);
  }

  #release(body: PartialBody): void {
    this.#incomplete.delete(body);
    this.#budget.release(body.parts.sizeBytes);
    body.parts.clear();
  }
}
