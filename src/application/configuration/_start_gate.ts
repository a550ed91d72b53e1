/**
 * Decides when an entry host that starts may trust what it has heard.
 *
 * @module
 */

/**
 * An entry host that was restarted knows nothing, and the service may be stale
 * for long. Trusting it alone would put a configuration in force again that the
 * other entry hosts have left behind: one would see one host of several work by
 * an old contract after each restart. So the peers are heard first, for a short
 * while; only when none answers in time is the service trusted alone. Peers
 * alone are trusted after the same while where the service can't be read.
 */
export class StartGate {
  #hasServiceAnswered = false;

  #hasPeerAnswered = false;

  #isPatienceOver = false;

  /** Notes that the service was read. */
  noteService(): void {
    this.#hasServiceAnswered = true;
  }

  /** Notes that a peer which has loaded answered, whole. */
  notePeer(): void {
    this.#hasPeerAnswered = true;
  }

  /** Notes that the time to wait for either is over. */
  notePatienceOver(): void {
    this.#isPatienceOver = true;
  }

  /** @returns whether what was heard may be put in force */
  isOpen(): boolean {
    const { hasBoth, hasEither } = this.#listHeard();
    return hasBoth || (hasEither && this.#isPatienceOver);
  }

  #listHeard(): { readonly hasBoth: boolean; readonly hasEither: boolean } {
    return {
      hasBoth: this.#hasServiceAnswered && this.#hasPeerAnswered,
      hasEither: this.#hasServiceAnswered || this.#hasPeerAnswered,
    };
  }
}
