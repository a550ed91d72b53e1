/**
 * Gives out request IDs and the addresses to use them at.
 *
 * @module
 */
import { createRequestId, hashAccountId, parseRequestId } from '../../domain/requests/mod.js';
import type { RequestId } from '../../domain/requests/mod.js';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { PeerState, sortForCallers } from '../../domain/membership/mod.js';
import type { EntryHostIdentity, EntryHostView } from '../../domain/membership/mod.js';
import type { Clock, PeerNetwork, RandomSource } from '../../ports/mod.js';
import type { Assignment, CallerAddress, MembershipView } from '../views/mod.js';

const NONCE_BYTES = 12;
const MAX_IDEMPOTENCY_KEYS = 20_000;

/** Options of the issuer. */
export interface IdentityIssuerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly membership: MembershipView;
  readonly peers: PeerNetwork;
  /** Key that all entry hosts share. */
  readonly clusterKey: Uint8Array;
  /** Life of a request ID, in milliseconds. */
  readonly requestIdLifetimeMs: number;
  /** How long callers may keep addresses, in milliseconds. */
  readonly keepAddressMs: number;
}

/** Creates request IDs, checks them, and says which entry host to use. */
export class IdentityIssuer {
  readonly #options: IdentityIssuerOptions;

  /** IDs by account and idempotency key, oldest first. */
  readonly #byIdempotencyKey = new Map<string, RequestId>();

  /** @param options - what it needs */
  constructor(options: IdentityIssuerOptions) {
    this.#options = options;
  }

  /**
   * @param accountId - whom the ID is for
   * @param owner - who will own the request; itself by default
   * @returns a fresh ID
   */
  createId(accountId: string, owner: EntryHostIdentity = this.#options.membership.self): RequestId {
    const { clock, random, clusterKey, requestIdLifetimeMs } = this.#options;
    return createRequestId(
      {
        ownerId: owner.id,
        incarnation: owner.incarnation,
        nonce: random.nextBytes(NONCE_BYTES),
        accountId,
        expiresAtMs: Math.floor(clock.wallMs()) + requestIdLifetimeMs,
      },
      clusterKey,
    );
  }

  /**
   * Parses an ID and checks that it was given to this account.
   *
   * @param text - the ID as it came
   * @param accountId - whose call it came with
   * @returns what it says
   * @throws SchedulerError of kind RequestIdInvalid
   */
  parseId(text: string, accountId: string): RequestId {
    const id = parseRequestId(text, this.#options.clusterKey);
    if (id.accountHash === hashAccountId(accountId)) return id;
    throw new SchedulerError(ErrorKind.RequestIdInvalid, {
      message: 'Cannot use this request ID: it was given to another account',
    });
  }

  /** @returns an owner for a new request, evenly among the entry hosts that take new callers */
  pickOwner(): EntryHostIdentity {
    const { membership, random } = this.#options;
    const live = this.#listReachable().map((view) => view.identity);
    return live[Math.floor(random.nextFraction() * live.length)] ?? membership.self;
  }

  /**
   * Finds or creates the ID of an idempotency key. It is the same while this
   * entry host lives; no promise rests on it.
   *
   * @param accountId - whose key
   * @param key - the key
   * @returns the ID
   */
  findOrCreateByKey(accountId: string, key: string): RequestId {
    const mapKey = JSON.stringify([accountId, key]);
    const known = this.#byIdempotencyKey.get(mapKey);
    if (known && known.expiresAtMs > this.#options.clock.wallMs()) return known;
    const id = this.createId(accountId, this.pickOwner());
    this.#byIdempotencyKey.delete(mapKey);
    this.#byIdempotencyKey.set(mapKey, id);
    const [oldest] = this.#byIdempotencyKey.keys();
    if (this.#byIdempotencyKey.size > MAX_IDEMPOTENCY_KEYS && oldest !== undefined) {
      this.#byIdempotencyKey.delete(oldest);
    }
    return id;
  }

  /**
   * @param id - a request ID
   * @returns what callers are told with it
   */
  buildAssignment(id: RequestId): Assignment {
    const { membership, random, keepAddressMs } = this.#options;
    const sorted = sortForCallers(this.#listReachable(), membership.self.availabilityZone, () =>
      random.nextFraction(),
    ).map((view) => view.identity);
    const owner = membership.findIncarnation(id.incarnation)?.identity ?? membership.self;
    return {
      id: id.text,
      entryHost: toAddress(owner),
      entryHosts: sorted.filter((host) => host.id !== owner.id).map(toAddress),
      keepMs: keepAddressMs,
    };
  }

  /**
   * Lists entry hosts that callers can be sent to. A process that was killed
   * stays live for its peers until it is suspected, yet its links go at once:
   * who has no link now is left out, so that callers aren't sent to a dead
   * address for that time.
   */
  #listReachable(): readonly EntryHostView[] {
    const { membership, peers } = this.#options;
    const linked = new Set(peers.listLinked().map((peer) => peer.incarnation));
    linked.add(membership.self.incarnation);
    return membership
      .listEntryHosts()
      .filter(
        ({ state, identity }) => state === PeerState.Live && linked.has(identity.incarnation),
      );
  }
}

function toAddress(identity: EntryHostIdentity): CallerAddress {
  return { id: identity.id, url: identity.url };
}
