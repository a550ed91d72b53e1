/**
 * Mutual authentication of both ends of a link with the cluster key.
 *
 * @module
 */
import { createHmac, timingSafeEqual } from 'node:crypto';
import type { EntryHostIdentity } from '../../domain/membership/types.js';
import { FrameKind } from './_frames.js';
import type { ChallengeFrame, HelloFrame } from './_frames.js';

const PROTOCOL_NAME = 'monsoonhall peer link';
const PROTOCOL_VERSION = 1;

/** Role of one end of a link. */
export enum LinkRole {
  Dialer = 'dialer',
  Listener = 'listener',
}

/** Options of {@link Handshake}. */
export interface HandshakeOptions {
  readonly role: LinkRole;
  /** Identity that this end sends. */
  readonly self: EntryHostIdentity;
  /** Secret that all entry hosts share. */
  readonly clusterKey: Uint8Array;
  /** Unpredictable bytes that are used for this link only. */
  readonly nonce: Uint8Array;
}

/**
 * One end of a challenge-response handshake. The MAC of each end covers its role and both nonces:
 * a replayed handshake fails because the other end sends a new nonce, and a MAC reflected to its
 * sender fails because the role differs. The key itself is never sent.
 */
export class Handshake {
  readonly #options: HandshakeOptions;

  #peerNonce: Uint8Array | undefined;

  /** @param options - role, identity, key and nonce of this end */
  constructor(options: HandshakeOptions) {
    this.#options = options;
  }

  /** @returns the first frame that this end sends */
  buildChallenge(): ChallengeFrame {
    const { nonce } = this.#options;
    return { kind: FrameKind.Challenge, version: PROTOCOL_VERSION, nonce };
  }

  /**
   * Answers the challenge of the other end.
   *
   * @param challenge - first frame of the other end
   * @returns the second frame that this end sends
   * @throws Error when it is the second challenge, or of another protocol version
   */
  acceptChallenge(challenge: ChallengeFrame): HelloFrame {
    if (this.#peerNonce) throw new Error('Cannot accept challenge: there was one already');
    if (challenge.version !== PROTOCOL_VERSION) {
      throw new Error(`Cannot accept challenge: its version is ${challenge.version}`);
    }
    this.#peerNonce = Uint8Array.from(challenge.nonce);
    const { role, self, nonce } = this.#options;
    const mac = this.#computeMac(role, self, [nonce, this.#peerNonce]);
    return { kind: FrameKind.Hello, identity: self, mac };
  }

  /**
   * Verifies the proof of the other end.
   *
   * @param hello - second frame of the other end
   * @returns the identity of the other end
   * @throws Error when the MAC is for another key, role, identity or nonce, or no challenge came
   */
  acceptHello(hello: HelloFrame): EntryHostIdentity {
    if (!this.#peerNonce) throw new Error('Cannot accept hello: no challenge came before');
    const { role, nonce } = this.#options;
    const peerRole = role === LinkRole.Dialer ? LinkRole.Listener : LinkRole.Dialer;
    const expected = this.#computeMac(peerRole, hello.identity, [this.#peerNonce, nonce]);
    if (!timingSafeEqual(expected, hello.mac)) {
      throw new Error('Cannot accept hello: the MAC does not match');
    }
    return hello.identity;
  }

  #computeMac(
    role: LinkRole,
    identity: EntryHostIdentity,
    nonces: readonly [Uint8Array, Uint8Array],
  ): Buffer {
    const { id, incarnation, url, peerUrl, availabilityZone } = identity;
    const parts = [
      PROTOCOL_NAME,
      PROTOCOL_VERSION,
      role,
      ...nonces.map((nonce) => Buffer.from(nonce).toString('hex')),
      ...[id, incarnation, url, peerUrl, availabilityZone],
    ];
    return createHmac('sha256', this.#options.clusterKey).update(JSON.stringify(parts)).digest();
  }
}
