/**
 * Proves to each other that both ends of a link have the cluster key.
 *
 * @module
 */
import { createHmac, timingSafeEqual } from 'node:crypto';
import type { EntryHostIdentity } from '../../domain/membership/types.js';
import { FrameKind } from './_frames.js';
import type { ChallengeFrame, HelloFrame } from './_frames.js';

const PROTOCOL_NAME = 'monsoonhall peer link';
const PROTOCOL_VERSION = 1;

/** Which end of a link this is. */
export enum LinkRole {
  Dialer = 'dialer',
  Listener = 'listener',
}

/** What one end of a handshake needs. */
export interface HandshakeOptions {
  readonly role: LinkRole;
  readonly self: EntryHostIdentity;
  readonly clusterKey: Uint8Array;
  /** Unpredictable bytes, used for this link alone. */
  readonly nonce: Uint8Array;
}

/**
 * One end of a challenge-response. Each end's MAC covers its role and both
 * nonces: a recorded handshake fails against the other end's new nonce, and a MAC
 * that is sent back to where it came from fails for its role. The key itself
 * never travels.
 */
export class Handshake {
  readonly #options: HandshakeOptions;

  #peerNonce: Uint8Array | undefined;

  /** @param options - what this end needs */
  constructor(options: HandshakeOptions) {
    this.#options = options;
  }

  /** @returns this end's first frame */
  buildChallenge(): ChallengeFrame {
    const { nonce } = this.#options;
    return { kind: FrameKind.Challenge, version: PROTOCOL_VERSION, nonce };
  }

  /**
   * Answers the other end's challenge.
   *
   * @param challenge - its first frame
   * @returns this end's second frame
   * @throws Error when it is out of turn or of another version
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
   * Checks the other end's proof.
   *
   * @param hello - its second frame
   * @returns who it is
   * @throws Error when it does not have the key, or its proof is of another link
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
