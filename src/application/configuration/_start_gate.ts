/**
 * Decides when a starting entry host may put the configuration that it has received into effect.
 *
 * @module
 */

/**
 * Opens once both the configuration service and a peer have replied or, after the
 * start timeout, once either of them has.
 *
 * A restarted entry host has no configuration, and the service may answer with
 * stale data for a long time. If the entry host trusted the service alone, it would
 * return to contracts that its peers have already replaced, after each restart. It
 * therefore waits for a peer's reply too, and relies on the service alone only if no
 * peer replies before the timeout. If the service can't be read, it relies on
 * peers alone after the same timeout.
 */
export class StartGate {
  #hasServiceAnswered = false;

  #hasPeerReplied = false;

  #hasTimedOut = false;

  /** Records that the configuration service was read. */
  recordServiceAnswer(): void {
    this.#hasServiceAnswered = true;
  }

  /** Records a complete reply of a peer that has loaded its configuration. */
  recordPeerReply(): void {
    this.#hasPeerReplied = true;
  }

  /** Records that the start timeout has passed. */
  recordTimeout(): void {
    this.#hasTimedOut = true;
  }

  /** @returns whether the received configuration may be put into effect */
  isOpen(): boolean {
    const { hasBoth, hasEither } = this.#summarizeReplies();
    return hasBoth || (hasEither && this.#hasTimedOut);
  }

  #summarizeReplies(): { readonly hasBoth: boolean; readonly hasEither: boolean } {
    return {
      hasBoth: this.#hasServiceAnswered && this.#hasPeerReplied,
      hasEither: this.#hasServiceAnswered || this.#hasPeerReplied,
    };
  }
}
