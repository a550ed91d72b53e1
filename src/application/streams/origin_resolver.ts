/**
 * Finds where a stream began that a caller takes up.
 *
 * @module
 */
import { OriginKind } from '../../domain/streams/mod.js';
import type { OriginRecord, SoftwareVersion, StreamOrigin } from '../../domain/streams/mod.js';
import type { Clock } from '../../ports/mod.js';
import { OriginQueries } from './_origin_queries.js';
import type { OriginQueriesOptions } from './_origin_queries.js';

/**
 * Longest time until a read of the store confirms which servers there were, in milliseconds; somewhat
 * longer than entry hosts wait between two reads.
 */
const MAX_CONFIRMATION_WAIT_MS = 1_500;

/** Interval between looks whether a read has confirmed it, in milliseconds. */
const CONFIRMATION_CHECK_MS = 20;

/** How a host learnt where a stream began. */
export enum OriginSource {
  /** It began at this host, or this host was told before. */
  Own = 'own',
  /** A peer was asked. */
  Peer = 'peer',
  /** All servers that can have begun it run the same version. */
  Inferred = 'inferred',
  /** Nobody within reach knows it. */
  Unknown = 'unknown',
  /** Its ID was used for streams of several versions. */
  Ambiguous = 'ambiguous',
}

/** What to find. */
export interface OriginQuestion {
  /** Key of the stream; undefined if the caller names none. */
  readonly key: string | undefined;
  /** The only service that the call may go to; undefined if there are several. */
  readonly serviceId: string | undefined;
  /** Whether entry hosts serve such calls only while they know the store's state of late. */
  readonly isAgeLimited: boolean;
  /** Longest wait, in milliseconds. */
  readonly maxWaitMs: number;
}

/** Where a stream began, and how that is known. */
export interface OriginAnswer {
  readonly source: OriginSource;
  readonly origin: StreamOrigin | undefined;
  readonly peersAsked: number;
  readonly peersAnswered: number;
}

/** Dependencies of {@link OriginResolver}. */
export interface OriginResolverOptions extends OriginQueriesOptions {
  readonly clock: Clock;
  /**
   * @param serviceId - a service
   * @returns the version that all its servers have run for as long as a stream lives
   */
  readonly findOnlyVersion: (serviceId: string) => SoftwareVersion | undefined;
  /** @returns time since the state of the store was confirmed, in milliseconds */
  readonly computeStoreAgeMs: () => number;
  /** Has the state of the store read at once. */
  readonly requestConfirmation: () => void;
}

/** Looks at the own records, asks peers, and infers where only one version is possible. */
export class OriginResolver {
  readonly #options: OriginResolverOptions;

  readonly #queries: OriginQueries;

  /** @param options - dependencies */
  constructor(options: OriginResolverOptions) {
    this.#options = options;
    this.#queries = new OriginQueries(options);
  }

  /**
   * Finds where a stream began. Nothing is guessed: what nobody knows, and what can't be inferred, is
   * unknown.
   *
   * @param question - the stream, and the call that takes it up
   * @returns the answer
   */
  async resolve(question: OriginQuestion): Promise<OriginAnswer> {
    const arrivedAtMs = this.#options.clock.nowMs();
    const own = question.key === undefined ? undefined : this.#options.origins.find(question.key);
    if (own) return buildAnswer(own, OriginSource.Own);
    const peers =
      question.key === undefined
        ? { record: undefined, peersAsked: 0, peersAnswered: 0 }
        : await this.#queries.ask(question.key);
    if (peers.record)
      return {
        ...buildAnswer(peers.record, OriginSource.Peer),
        peersAsked: peers.peersAsked,
        peersAnswered: peers.peersAnswered,
      };
    const origin = await this.#infer(question, arrivedAtMs);
    const source = origin ? OriginSource.Inferred : OriginSource.Unknown;
    return { ...peers, source, origin };
  }

  /**
   * Infers the version from the registry. The stream began before its caller came here, at a server
   * that its entry host had read of; so a read that was sent after the caller came shows that server,
   * or the history does.
   */
  async #infer(
    { serviceId, isAgeLimited, maxWaitMs }: OriginQuestion,
    arrivedAtMs: number,
  ): Promise<StreamOrigin | undefined> {
    const { clock, findOnlyVersion, computeStoreAgeMs, requestConfirmation } = this.#options;
    if (serviceId === undefined || !isAgeLimited) return undefined;
    const waitMs = Math.min(maxWaitMs, MAX_CONFIRMATION_WAIT_MS);
    for (;;) {
      const version = findOnlyVersion(serviceId);
      if (version === undefined) return undefined;
      const waitedMs = clock.nowMs() - arrivedAtMs;
      if (computeStoreAgeMs() < waitedMs) return { serviceId, version };
      if (waitedMs >= waitMs) return undefined;
      requestConfirmation();
      await this.#wait(CONFIRMATION_CHECK_MS);
    }
  }

  #wait(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.clock.setTimer(delayMs, resolve);
    });
  }
}

function buildAnswer(record: OriginRecord, source: OriginSource): OriginAnswer {
  const asked = { peersAsked: 0, peersAnswered: 0 };
  if (record.kind === OriginKind.Known) return { ...asked, source, origin: record.origin };
  return { ...asked, source: OriginSource.Ambiguous, origin: undefined };
}
