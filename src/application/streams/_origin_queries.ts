/**
 * Asks peers where a stream began, and answers them.
 *
 * @module
 */
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import { OriginKind } from '../../domain/streams/mod.js';
import type { OriginRecord } from '../../domain/streams/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import type { Clock, Metrics, PeerNetwork, StreamReplyMessage } from '../../ports/mod.js';
import { toRecord } from './stream_origins.js';
import type { StreamOrigins } from './stream_origins.js';

/** Time after which a peer that gives no answer counts as one that knows nothing, in milliseconds. */
const QUERY_TIMEOUT_MS = 150;

/** The same for a query that a relay makes for its member, whose own time has to suffice for it. */
const RELAYED_TIMEOUT_MS = 100;

/**
 * Maximum number of queries a second; IDs that callers invent cost peers no more than that. Beyond
 * it streams are unknown.
 */
const MAX_QUERIES_PER_SECOND = 500;

const MS_PER_SECOND = 1_000;

/** What peers know of a stream. */
export interface PeerKnowledge {
  readonly record: OriginRecord | undefined;
  readonly peersAsked: number;
  readonly peersAnswered: number;
}

/** Dependencies of {@link OriginQueries}. */
export interface OriginQueriesOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly peers: PeerNetwork;
  readonly origins: StreamOrigins;
  /** @param incarnation - a peer's process. @returns whether it reports to this host alone */
  readonly isMember: (incarnation: string) => boolean;
}

interface PendingQuery {
  /** Incarnations of the peers that have not answered yet. */
  readonly waitingFor: Set<string>;
  readonly finish: (record: OriginRecord | undefined) => void;
}

/** Sends queries to all linked relays at once; the first one that knows the stream is believed. */
export class OriginQueries {
  readonly #options: OriginQueriesOptions;

  readonly #pending = new Map<number, PendingQuery>();

  #lastId = 0;

  #second = 0;

  #queriesInSecond = 0;

  /** @param options - dependencies */
  constructor(options: OriginQueriesOptions) {
    this.#options = options;
    const { peers } = options;
    peers.handle(PeerMessageType.StreamReply, ({ incarnation }, reply) =>
      this.#handleReply(incarnation, reply),
    );
    peers.handle(PeerMessageType.StreamQuery, (from, { queryId, key }) => {
      this.#answer(from, key, (record) => this.#sendReply(from.incarnation, queryId, record));
    });
    peers.onLinkChange(({ peer, up }) => {
      if (!up) this.#pending.forEach((query) => settleAnswer(query, peer.incarnation, undefined));
    });
  }

  /**
   * Asks all relays.
   *
   * @param key - key of the stream
   * @param timeoutMs - longest wait for their answers, in milliseconds
   * @returns what they know
   */
  ask(key: string, timeoutMs = QUERY_TIMEOUT_MS): Promise<PeerKnowledge> {
    const { clock, peers, origins } = this.#options;
    const none = { record: undefined, peersAsked: 0, peersAnswered: 0 };
    if (!this.#takeQuery()) return Promise.resolve(none);
    this.#lastId += 1;
    const queryId = this.#lastId;
    const asked = origins
      .listHolders()
      .map(({ incarnation }) => incarnation)
      .filter((one) => peers.send(one, { type: PeerMessageType.StreamQuery, queryId, key }));
    if (asked.length === 0) return Promise.resolve(none);
    return new Promise((resolve) => {
      const waitingFor = new Set(asked);
      const finish = (record: OriginRecord | undefined): void => {
        if (!this.#pending.delete(queryId)) return;
        const peersAnswered = asked.length - waitingFor.size;
        resolve({ record, peersAsked: asked.length, peersAnswered });
      };
      this.#pending.set(queryId, { waitingFor, finish });
      clock.setTimer(timeoutMs, () => finish(undefined));
    });
  }

  /** Answers at once from the own records; a relay asks the other relays for its member. */
  #answer(
    { incarnation }: EntryHostIdentity,
    key: string,
    reply: (record: OriginRecord | undefined) => void,
  ): void {
    const own = this.#options.origins.find(key);
    if (own || !this.#options.isMember(incarnation)) reply(own);
    else this.ask(key, RELAYED_TIMEOUT_MS).then(({ record }) => reply(record));
  }

  #sendReply(to: string, queryId: number, record: OriginRecord | undefined): void {
    const origin = record?.kind === OriginKind.Known ? record.origin : undefined;
    this.#options.peers.send(to, {
      type: PeerMessageType.StreamReply,
      queryId,
      isKnown: record !== undefined,
      serviceId: origin?.serviceId,
      version: origin?.version,
    });
  }

  #handleReply(
    peer: string,
    { queryId, isKnown, serviceId = '', version }: StreamReplyMessage,
  ): void {
    const query = this.#pending.get(queryId);
    if (query) settleAnswer(query, peer, isKnown ? toRecord(serviceId, version) : undefined);
  }

  #takeQuery(): boolean {
    const second = Math.floor(this.#options.clock.nowMs() / MS_PER_SECOND);
    if (second !== this.#second) this.#queriesInSecond = 0;
    this.#second = second;
    this.#queriesInSecond += 1;
    const isAllowed = this.#queriesInSecond <= MAX_QUERIES_PER_SECOND;
    this.#options.metrics.count('stream_queries_total', { result: isAllowed ? 'sent' : 'dropped' });
    return isAllowed;
  }
}

function settleAnswer(query: PendingQuery, peer: string, record: OriginRecord | undefined): void {
  if (!query.waitingFor.delete(peer)) return;
  if (record || query.waitingFor.size === 0) query.finish(record);
}
