/**
 * Tracks which processes have sent reports recently.
 *
 * @module
 */

/** Processes that report entry hosts, and when each of them was heard last. */
export class LiveSources {
  readonly #timeoutMs: number;

  readonly #lastContactAtMs = new Map<string, number>();

  /** Incarnations that were not silent at the last check. */
  readonly #live = new Set<string>();

  /** @param timeoutMs - silence after which a process counts as gone, in milliseconds */
  constructor(timeoutMs: number) {
    this.#timeoutMs = timeoutMs;
  }

  /**
   * @param source - incarnation of a process that was heard
   * @param nowMs - monotonic time in milliseconds
   * @returns whether it was not live before
   */
  recordContact(source: string, nowMs: number): boolean {
    this.#lastContactAtMs.set(source, nowMs);
    const isNew = !this.#live.has(source);
    this.#live.add(source);
    return isNew;
  }

  /** @param source - incarnation of a process that has sent an entry */
  add(source: string): void {
    this.#live.add(source);
  }

  /** @param nowMs - monotonic time. @returns live processes that have fallen silent; removes them */
  takeSilent(nowMs: number): readonly string[] {
    const silent = [...this.#live].filter(
      (source) => nowMs - (this.#lastContactAtMs.get(source) ?? -Infinity) > this.#timeoutMs,
    );
    silent.forEach((source) => this.#live.delete(source));
    return silent;
  }

  /** @param beforeMs - processes that were heard last before this time are forgotten */
  forget(beforeMs: number): void {
    this.#lastContactAtMs.forEach((atMs, source) => {
      if (atMs < beforeMs) this.#lastContactAtMs.delete(source);
    });
  }
}
