/**
 * Watches the host list, with bounded reads.
 *
 * @module
 */
import { HOST_LIST_PREFIX, HostListOrder, parseListedHost } from '../../domain/membership/mod.js';
import type { HostList, ListedHost } from '../../domain/membership/mod.js';
import { LogLevel, formatReason } from '../../domain/errors/mod.js';
import type {
  Clock,
  EventLog,
  Metrics,
  PlatformEntry,
  PlatformReader,
  PlatformSnapshot,
  RandomSource,
  Timer,
} from '../../ports/mod.js';

/** How much later than the wait an answer may come before the read is given up. */
const READ_TIMEOUT_MARGIN_MS = 2_000;
/** Least time between the begins of two reads, also when the list changes all the time. */
const MIN_READ_INTERVAL_MS = 1_000;
const MIN_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 5_000;
/** How long the list must be older than what was read before it is taken for restored. */
const RESTORE_CONFIRMATION_MS = 60_000;

/** What the watch needs. */
export interface HostListWatchOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly platform: PlatformReader;
  /** How long one read waits for a change, in milliseconds. */
  readonly readWaitMs: number;
  /** Called with each list that is in force, and when its read was begun. */
  readonly onList: (list: HostList, begunAtMs: number) => void;
}

/** Reads the host list again and again, until it is stopped. */
export class HostListWatch {
  readonly #options: HostListWatchOptions;

  readonly #listOrder = new HostListOrder(RESTORE_CONFIRMATION_MS);

  readonly #loggedFaultIndexes = new Map<string, number>();

  #afterIndex = 0;

  #consecutiveFailures = 0;

  #isStopped = false;

  #isRestarting = false;

  /** Ends whatever the watch waits for: a read or the time between two. */
  #interrupt: () => void = () => undefined;

  /** @param options - what the watch needs */
  constructor(options: HostListWatchOptions) {
    this.#options = options;
  }

  /** @returns when the watch was stopped */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const startedAtMs = this.#options.clock.nowMs();
      this.#isRestarting = false;
      await this.#readOnce(startedAtMs);
      if (!this.#isRestarting) await this.#delay(this.#computeDelayMs(startedAtMs));
    }
  }

  /** Gives up the read that waits and reads at once. */
  restart(): void {
    this.#isRestarting = true;
    this.#afterIndex = 0;
    this.#interrupt();
  }

  /** Ends the watch. */
  stop(): void {
    this.#isStopped = true;
    this.#interrupt();
  }

  async #readOnce(startedAtMs: number): Promise<void> {
    try {
      const snapshot = await this.#readWithTimeout();
      this.#consecutiveFailures = 0;
      if (!this.#isStopped) this.#applySnapshot(snapshot, startedAtMs);
    } catch (error) {
      if (this.#isStopped || this.#isRestarting) return;
      this.#consecutiveFailures += 1;
      this.#options.metrics.count('host_list_read_failures_total');
      this.#logFailure(error);
    }
  }

  /** Neither a silent connection nor a reader that ignores the signal may hold the watch. */
  async #readWithTimeout(): Promise<PlatformSnapshot> {
    const controller = new AbortController();
    const { readWaitMs } = this.#options;
    const timeoutMs = readWaitMs + READ_TIMEOUT_MARGIN_MS;
    const aborted = new Promise<never>((_resolve, reject) => {
      controller.signal.addEventListener('abort', () => {
        const { message } = controller.signal.reason as Error;
        reject(new Error(`Cannot read the host list: ${message}`));
      });
    });
    const timer = this.#options.clock.setTimer(timeoutMs, () => {
      controller.abort(new Error(`no answer within ${timeoutMs} ms`));
    });
    this.#interrupt = () => controller.abort(new Error('given up'));
    const options = {
      afterIndex: this.#afterIndex,
      waitMs: readWaitMs,
      signal: controller.signal,
    };
    try {
      const read = this.#options.platform.read(HOST_LIST_PREFIX, options);
      return await Promise.race([read, aborted]);
    } finally {
      timer.cancel();
    }
  }

  #applySnapshot(snapshot: PlatformSnapshot, startedAtMs: number): void {
    if (!this.#listOrder.acceptIndex(snapshot.index, this.#options.clock.nowMs())) {
      this.#options.metrics.count('host_list_older_reads_total');
      return;
    }
    this.#afterIndex = snapshot.index;
    const hosts = snapshot.entries.map((entry) => this.#parseEntry(entry));
    const list = { index: snapshot.index, hosts: hosts.filter((host) => host !== undefined) };
    this.#options.onList(list, startedAtMs);
  }

  /** One bad entry must not hide all other hosts. */
  #parseEntry(entry: PlatformEntry): ListedHost | undefined {
    try {
      return parseListedHost(entry);
    } catch (error) {
      if (this.#loggedFaultIndexes.get(entry.key) === entry.modifyIndex) return undefined;
      this.#loggedFaultIndexes.set(entry.key, entry.modifyIndex);
      const reason = formatReason(error);
      this.#options.log.write(LogLevel.Warn, 'host_list_entry_refused', { key: entry.key, reason });
      return undefined;
    }
  }

  /** The first failure of a row is a warning; the rest would only fill the log. */
  #logFailure(error: unknown): void {
    const level = this.#consecutiveFailures === 1 ? LogLevel.Warn : LogLevel.Debug;
    const reason = formatReason(error);
    this.#options.log.write(level, 'host_list_read_failed', { reason, failures: this.#consecutiveFailures });
  }

  #computeDelayMs(startedAtMs: number): number {
    const { clock, random } = this.#options;
    if (this.#consecutiveFailures === 0) return Math.max(0, startedAtMs + MIN_READ_INTERVAL_MS - clock.nowMs());
    const maxDelayMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** this.#consecutiveFailures);
    return maxDelayMs * (0.5 + random.nextFraction() / 2);
  }

  #delay(delayMs: number): Promise<void> {
    if (this.#isStopped) return Promise.resolve();
    return new Promise((resolve) => {
      const timer: Timer = this.#options.clock.setTimer(delayMs, resolve);
      this.#interrupt = () => {
        timer.cancel();
        resolve();
      };
    });
  }
}
