/**
 * The stream of one call, over all attempts that bring parts of it.
 *
 * @module
 */
import type { StreamOrigin } from '../../domain/streams/mod.js';
import type { DirectRequest, LogFields } from '../../ports/mod.js';
import type { StreamRelay } from './_answer_relay.js';

/** The parts of a call that concern its stream. */
export interface CallStreamOptions {
  readonly request: DirectRequest;
  /** Where the stream began that the call takes up; undefined if it takes up none. */
  readonly origin?: StreamOrigin | undefined;
  /** Called immediately before the first event of the answer is sent to the caller. */
  readonly onBegin: (origin: StreamOrigin) => void;
}

/** Keeps what the caller has of the stream, from this call and from those before it. */
export class CallStream {
  readonly #request: DirectRequest;

  #relay: StreamRelay | undefined;

  #origin: StreamOrigin | undefined;

  readonly #onBegin: (origin: StreamOrigin) => void;

  /** @param options - the call's request, and the stream that it takes up */
  constructor({ request, origin, onBegin }: CallStreamOptions) {
    this.#request = request;
    this.#origin = origin;
    this.#onBegin = onBegin;
  }

  /** The stream as far as the caller received it in this answer; undefined before its first event. */
  get relay(): StreamRelay | undefined {
    return this.#relay;
  }

  /** Where the stream began; undefined while the caller has no event of it. */
  get origin(): StreamOrigin | undefined {
    return this.#origin;
  }

  /** @param origin - where the event came from that is the first one of this answer */
  recordBegin(origin: StreamOrigin): void {
    this.#origin ??= origin;
    this.#onBegin(this.#origin);
  }

  /** Whether the answer can go on behind the last event that the caller has. */
  get canContinue(): boolean {
    return this.#relay?.lastEventId !== undefined;
  }

  /** @param stream - the stream of an attempt behind which another one goes on */
  recordStream(stream: StreamRelay | undefined): void {
    this.#relay = stream?.hasBegun ? stream : undefined;
  }

  /** @returns what an attempt continues, for the log */
  describe(): LogFields {
    const { lastEventId, resumedRequestId } = this.#request;
    return {
      lastEventId: this.#relay?.lastEventId ?? lastEventId,
      takesUp: resumedRequestId,
      boundVersion: this.#origin?.version,
    };
  }
}
