/**
 * Decides when an entry host has been up for long enough to know all other entry hosts.
 *
 * @module
 */
import { createHash } from 'node:crypto';
import type { HostState, Roster } from '../../domain/overlay/mod.js';
import type { Clock } from '../../ports/mod.js';
import type { ReceivedReports } from './_received_reports.js';
import type { ReportRole } from './_report_role.js';

/**
 * Time until an entry host knows all others, in milliseconds: it asks a seed, which names the
 * relays, and a relay then reports all entry hosts.
 */
const DISCOVERY_MS = 2_000;

/**
 * Time until an entry host that hears from no other assumes that it is the only one, in
 * milliseconds. It may be partitioned from the others; a partition of usual length ends within
 * this time.
 */
const ALONE_DISCOVERY_MS = 20_000;

/**
 * Time until an entry host that has the same list as its peers may count as known to all, in
 * milliseconds: reports have reached all hosts, and nobody starts requests any more on slots that
 * its former process has lent.
 */
const CONFIRMED_MS = 1_000;

/** Dependencies of {@link Settling}. */
export interface SettlingOptions {
  readonly clock: Clock;
  readonly roster: Roster;
  readonly received: ReceivedReports;
  readonly role: ReportRole;
}

/** Decides whether this entry host knows all others, and tells peers which ones it knows. */
export class Settling {
  readonly #options: SettlingOptions;

  readonly #startedAtMs: number;

  /** The hosts that the digest stands for; the same array until any of them changes. */
  #known: readonly HostState[] | undefined;

  #digest = 0;

  /** @param options - dependencies */
  constructor(options: SettlingOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.nowMs();
  }

  /** Whether this entry host has had enough time to discover all others. */
  get isSettled(): boolean {
    return hasSettled(this.#ageMs, this.#options.roster.listHeard().length);
  }

  /** Whether it has settled, or peers that have settled know exactly the same hosts. */
  get isConfirmed(): boolean {
    if (this.isSettled) return true;
    if (this.#ageMs < CONFIRMED_MS) return false;
    const { received, role } = this.#options;
    const digests = received
      .listCounted(role.origin)
      .flatMap(({ report }) => report.knownHosts ?? []);
    return digests.length > 0 && digests.every((digest) => digest === this.#computeDigest());
  }

  /** Digest of the known hosts for peers; undefined until this host knows all others. */
  get reported(): number | undefined {
    return this.isConfirmed ? this.#computeDigest() : undefined;
  }

  get #ageMs(): number {
    return this.#options.clock.nowMs() - this.#startedAtMs;
  }

  #computeDigest(): number {
    const { roster } = this.#options;
    const known = roster.listKnown();
    if (known === this.#known) return this.#digest;
    const ids = [roster.self, ...known].map(({ identity }) => identity.id);
    const hash = createHash('sha256').update(ids.sort().join());
    this.#known = known;
    this.#digest = hash.digest().readUInt32BE();
    return this.#digest;
  }
}

/**
 * Tells whether an entry host had enough time to discover all others.
 *
 * @param ageMs - time since the entry host started, in milliseconds
 * @param heardCount - number of other entry hosts that it currently hears from
 * @returns whether discovery is complete
 */
export function hasSettled(ageMs: number, heardCount: number): boolean {
  return ageMs >= (heardCount > 0 ? DISCOVERY_MS : ALONE_DISCOVERY_MS);
}
