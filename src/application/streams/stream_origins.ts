/**
 * Keeps the records of where streams began, and shares them with peers.
 *
 * @module
 */
import { sortByRendezvous } from '../../domain/membership/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import {
  AMBIGUOUS_ORIGIN,
  OriginKind,
  OriginTable,
  parseSoftwareVersion,
  RecordEffect,
} from '../../domain/streams/mod.js';
import type { AgedRecord, OriginRecord, StreamOrigin } from '../../domain/streams/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import type {
  Clock,
  LinkEvent,
  Metrics,
  PeerNetwork,
  StreamOriginsMessage,
} from '../../ports/mod.js';
import { runInSteps } from './_key_steps.js';

/**
 * Default of {@link StreamOriginsOptions.copies}: four of seven hosts may be killed at the same moment
 * without losing a record.
 */
const DEFAULT_COPIES = 4;

/** Maximum number of records; about 8 MB. */
const MAX_RECORDS = 50_000;

/** Interval at which records that have outlived their streams are removed, in milliseconds. */
const SWEEP_INTERVAL_MS = 5_000;

/** Time after a link opens until the peer's role is known, in milliseconds. */
const ROLE_DELAY_MS = 300;

/** Maximum number of records in one message. */
const MAX_RECORDS_PER_MESSAGE = 500;

/** Dependencies of {@link StreamOrigins}. */
export interface StreamOriginsOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly peers: PeerNetwork;
  /** @param id - a host's ID. @returns whether it passes on what the others report */
  readonly isRelay: (id: string) => boolean;
  /** @param incarnation - a peer's process. @returns whether it reports to this host alone */
  readonly isMember: (incarnation: string) => boolean;
  /** @returns time for which a stream may be taken up after it began, in milliseconds */
  readonly getLifeMs: () => number;
  /**
   * @param serviceId - a service
   * @returns whether its streams can't be inferred, as its servers run several versions, or did
   */
  readonly mustTell: (serviceId: string) => boolean;
  /** Number of peers that are told of each stream, besides the host that began it. Default: 4. */
  readonly copies?: number | undefined;
}

/**
 * Tells a few relays of each stream, picked by rendezvous of its key, before its first event is
 * sent. The message leaves this process before the event does, so that a caller who comes back at
 * once finds hosts that know the stream, although this one may be gone.
 */
export class StreamOrigins {
  readonly #options: StreamOriginsOptions;

  readonly #table = new OriginTable(MAX_RECORDS);

  /** Keys of streams that no peer was told of, by service. */
  readonly #untold = new Map<string, Set<string>>();

  /** @param options - dependencies */
  constructor(options: StreamOriginsOptions) {
    this.#options = options;
    const { peers } = options;
    peers.handle(PeerMessageType.StreamOrigins, (from, message) => this.#handle(from, message));
    peers.onLinkChange((event) => this.#handleLink(event));
  }

  get #copies(): number {
    return this.#options.copies ?? DEFAULT_COPIES;
  }

  /** Number of streams that are known. */
  get size(): number {
    return this.#table.size;
  }

  /** Starts to remove old records. */
  start(): void {
    this.#options.clock.setTimer(SWEEP_INTERVAL_MS, () => {
      this.#removeOld();
      this.start();
    });
  }

  #removeOld(): void {
    const { clock, getLifeMs } = this.#options;
    this.#table.removeOlderThan(clock.nowMs() - getLifeMs());
    this.#untold.forEach((keys) => {
      [...keys].filter((key) => !this.#table.find(key)).forEach((key) => keys.delete(key));
    });
  }

  /** @param key - key of a stream. @returns what this host knows of it; undefined if nothing */
  find(key: string): OriginRecord | undefined {
    return this.#table.find(key);
  }

  /** @returns linked peers that are asked for, and told of, streams */
  listHolders(): readonly EntryHostIdentity[] {
    const { peers, isRelay } = this.#options;
    return peers
      .listLinkedPeers()
      .filter(({ id, keepsStreamOrigins }) => keepsStreamOrigins === true && isRelay(id));
  }

  /**
   * Records where a stream began, and tells peers.
   *
   * @param keys - keys under which callers may name the stream
   * @param origin - where it began
   */
  record(keys: readonly string[], origin: StreamOrigin): void {
    // A server without a name may run any version, so that nothing may continue its streams.
    const record: OriginRecord =
      origin.version === undefined ? AMBIGUOUS_ORIGIN : { kind: OriginKind.Known, origin };
    const mustTell = this.#options.mustTell(origin.serviceId);
    keys.forEach((key) => {
      this.#apply(key, record, 0);
      if (mustTell) this.#tell(key, this.#copies);
      else this.#keepUntold(origin.serviceId, key);
    });
  }

  /** Tells peers of streams that could be inferred when they began, and can't any longer. */
  tellUntold(): void {
    [...this.#untold]
      .filter(([serviceId]) => this.#options.mustTell(serviceId))
      .forEach(([serviceId, keys]) => {
        this.#untold.delete(serviceId);
        runInSteps(this.#options.clock, [...keys], (part) => {
          this.#tellAll(
            part.filter((key) => this.#table.find(key)),
            this.#copies,
          );
        });
      });
  }

  #keepUntold(serviceId: string, key: string): void {
    const keys = this.#untold.get(serviceId) ?? new Set();
    this.#untold.set(serviceId, keys.add(key));
  }

  #handle(
    from: EntryHostIdentity,
    { serviceId, version, keys, agesMs }: StreamOriginsMessage,
  ): void {
    const { isMember, metrics } = this.#options;
    const record = toRecord(serviceId, version);
    const mustForward = isMember(from.incarnation);
    keys.forEach((key, index) => this.#apply(key, record, agesMs[index] ?? 0));
    // This relay holds one of the copies itself.
    if (mustForward) this.#tellAll(keys, this.#copies - 1);
    metrics.count('stream_origins_received_total', {}, keys.length);
  }

  #apply(key: string, record: OriginRecord, ageMs: number): void {
    const { clock, peers } = this.#options;
    const effect = this.#table.record(key, record, clock.nowMs() - ageMs);
    // Each host that holds one of the two records must learn that the key names no stream.
    if (effect === RecordEffect.Contradicts) this.#send(peers.listLinkedPeers(), [key]);
  }

  /** Tells a few holders what is known of a stream. */
  #tell(key: string, copies: number): void {
    const holders = this.listHolders();
    const ids = new Set(pickIds(key, listIds(holders), copies));
    this.#send(
      holders.filter(({ id }) => ids.has(id)),
      [key],
    );
  }

  /** Tells holders what is known of many streams, each of them of those that it keeps. */
  #tellAll(keys: readonly string[], copies: number): void {
    const holders = this.listHolders();
    const ids = listIds(holders);
    const keysById = new Map(ids.map((id): [string, string[]] => [id, []]));
    keys.forEach((key) => {
      new Set(pickIds(key, ids, copies)).forEach((id) => keysById.get(id)?.push(key));
    });
    holders.forEach((holder) => {
      const held = keysById.get(holder.id) ?? [];
      if (held.length > 0) this.#send([holder], held);
    });
  }

  #send(receivers: readonly EntryHostIdentity[], keys: readonly string[]): void {
    const nowMs = this.#options.clock.nowMs();
    const records = keys.flatMap((key) => this.#table.findAged(key, nowMs) ?? []);
    const messages = buildMessages(records);
    receivers
      .filter(({ keepsStreamOrigins }) => keepsStreamOrigins === true)
      .forEach(({ incarnation }) => {
        messages.forEach((message) => this.#options.peers.send(incarnation, message));
      });
    this.#options.metrics.count('stream_origins_sent_total', {}, receivers.length * keys.length);
  }

  /** A peer that has just started has lost its records; those that it should hold are sent again. */
  #handleLink({ peer, up }: LinkEvent): void {
    if (!up) return;
    this.#options.clock.setTimer(ROLE_DELAY_MS, () => {
      const untold = new Set([...this.#untold.values()].flatMap((keys) => [...keys]));
      const keys = this.#table.listKeys().filter((key) => !untold.has(key));
      runInSteps(this.#options.clock, keys, (part) => this.#sendHeld(peer, part));
    });
  }

  /** Sends what is known of those of some streams that a peer keeps. */
  #sendHeld(peer: EntryHostIdentity, keys: readonly string[]): void {
    const holders = this.listHolders();
    if (!holders.some(({ incarnation }) => incarnation === peer.incarnation)) return;
    const ids = listIds(holders);
    const held = keys.filter((key) => pickIds(key, ids, this.#copies).includes(peer.id));
    this.#send([peer], held);
  }
}

function listIds(hosts: readonly EntryHostIdentity[]): readonly string[] {
  return hosts.map(({ id }) => id);
}

function pickIds(key: string, ids: readonly string[], count: number): readonly string[] {
  return ids.length <= count ? ids : sortByRendezvous(key, ids).slice(0, count);
}

/**
 * Converts what a message says of a stream into a record.
 *
 * @param serviceId - service of the stream
 * @param version - its software version; undefined: the stream is ambiguous
 * @returns the record
 */
export function toRecord(serviceId: string, version: string | undefined): OriginRecord {
  const softwareVersion = parseSoftwareVersion(version);
  return softwareVersion === undefined
    ? AMBIGUOUS_ORIGIN
    : { kind: OriginKind.Known, origin: { serviceId, version: softwareVersion } };
}

/** Groups records by what they say, in messages of bounded size. */
function buildMessages(records: readonly AgedRecord[]): StreamOriginsMessage[] {
  const groups = new Map<OriginRecord, AgedRecord[]>();
  records.forEach((aged) => {
    const group = groups.get(aged.record) ?? [];
    group.push(aged);
    groups.set(aged.record, group);
  });
  return [...groups].flatMap(([record, group]) => {
    const origin = record.kind === OriginKind.Known ? record.origin : undefined;
    const messages: StreamOriginsMessage[] = [];
    for (let start = 0; start < group.length; start += MAX_RECORDS_PER_MESSAGE) {
      const part = group.slice(start, start + MAX_RECORDS_PER_MESSAGE);
      messages.push({
        type: PeerMessageType.StreamOrigins,
        serviceId: origin?.serviceId ?? '',
        version: origin?.version,
        keys: part.map(({ key }) => key),
        agesMs: part.map(({ ageMs }) => Math.max(0, Math.round(ageMs))),
      });
    }
    return messages;
  });
}
