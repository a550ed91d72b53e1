/**
 * Issues request IDs, with the addresses of the entry hosts at which callers use them.
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

/** Options of {@link RequestIdIssuer}. */
export interface RequestIdIssuerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly membership: MembershipView;
  readonly peers: PeerNetwork;
  /** Secret that all entry hosts share, used to sign request IDs. */
  readonly clusterKey: Uint8Array;
  /** Lifetime of a request ID, in milliseconds. */
  readonly requestIdLifetimeMs: number;
  /** How long callers may use the addresses of an assignment, in milliseconds. */
  readonly keepAddressMs: number;
}

/** Creates and verifies request IDs, and selects the entry hosts that callers use. */
export class RequestIdIssuer {
  readonly #options: RequestIdIssuerOptions;

  /** Request IDs by account and idempotency key, oldest first. */
  readonly #idsByIdempotencyKey = new Map<string, RequestId>();

  /** @param options - dependencies and settings */
  constructor(options: RequestIdIssuerOptions) {
    this.#options = options;
  }

  /**
   * @param accountId - the account that the ID is issued to
   * @param owner - entry host that will own the request; this entry host by default
   * @returns a new request ID
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
   * Parses a request ID and checks that it was issued to the account.
   *
   * @param text - the ID as received
   * @param accountId - account of the call that carried the ID
   * @returns the parsed ID
   * @throws SchedulerError of kind RequestIdInvalid
   */
  parseId(text: string, accountId: string): RequestId {
    const id = parseRequestId(text, this.#options.clusterKey);
    if (id.accountHash === hashAccountId(accountId)) return id;
    throw new SchedulerError(ErrorKind.RequestIdInvalid, {
      message: 'Cannot use this request ID: it was issued to another account',
    });
  }

  /** @returns an owner for a new request, chosen uniformly at random among reachable hosts */
  pickOwner(): EntryHostIdentity {
    const { membership, random } = this.#options;
    const candidates = this.#listReachable().map((view) => view.identity);
    return candidates[Math.floor(random.nextFraction() * candidates.length)] ?? membership.self;
  }

  /**
   * Finds or creates the request ID for an idempotency key. The ID is kept in memory, at most
   * until this process ends; no guarantee depends on it.
   *
   * @param accountId - account that sent the key
   * @param key - the idempotency key
   * @returns the request ID
   */
  getOrCreateByKey(accountId: string, key: string): RequestId {
    const mapKey = JSON.stringify([accountId, key]);
    const known = this.#idsByIdempotencyKey.get(mapKey);
    if (known && known.expiresAtMs > this.#options.clock.wallMs()) return known;
    const id = this.createId(accountId, this.pickOwner());
    this.#idsByIdempotencyKey.delete(mapKey);
    this.#idsByIdempotencyKey.set(mapKey, id);
    const [oldest] = this.#idsByIdempotencyKey.keys();
    if (this.#idsByIdempotencyKey.size > MAX_IDEMPOTENCY_KEYS && oldest !== undefined) {
      this.#idsByIdempotencyKey.delete(oldest);
    }
    return id;
  }

  /**
   * @param id - a request ID
   * @returns the assignment for the caller: the ID, its owner and other entry hosts to use
   */
  buildAssignment(id: RequestId): Assignment {
    const { membership, random, keepAddressMs } = this.#options;
    const sorted = sortForCallers(this.#listReachable(), membership.self.availabilityZone, () =>
      random.nextFraction(),
    ).map((view) => view.identity);
    const owner = membership.findIncarnation(id.incarnation)?.identity ?? membership.self;
    return {
      id: id.text,
      entryHost: toCallerAddress(owner),
      entryHosts: sorted.filter((host) => host.id !== owner.id).map(toCallerAddress),
      keepMs: keepAddressMs,
    };
  }

  /**
   * Lists entry hosts that callers can be directed to. Peers regard a killed
   * process as live until they suspect it, but its links close at once. Hosts
   * without a link are left out, so that callers are not sent to a dead address
   * in the meantime.
   */
  #listReachable(): readonly EntryHostView[] {
    const { membership, peers } = this.#options;
    const linked = new Set(peers.listLinkedPeers().map((peer) => peer.incarnation));
    linked.add(membership.self.incarnation);
    return membership
      .listEntryHosts()
      .filter(
        ({ state, identity }) => state === PeerState.Live && linked.has(identity.incarnation),
      );
  }
}

function toCallerAddress(identity: EntryHostIdentity): CallerAddress {
  return { id: identity.id, url: identity.url };
}
