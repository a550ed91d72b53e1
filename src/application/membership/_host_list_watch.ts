/**
 * Watches the host list with long-polling reads, each of which has a timeout.
 *
 * @module
 */
import { HOST_LIST_PREFIX, StaleReadFilter, parseListedHost } from '../../domain/membership/mod.js';
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

/** Time beyond the long-polling wait after which a read without an answer is aborted. */
const READ_TIMEOUT_MARGIN_MS = 2_000;
/** Minimum time between the starts of two reads, also while the list changes continuously. */
const MIN_READ_INTERVAL_MS = 1_000;
const MIN_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 5_000;
/**
 * How long reads must return an older index than before until the list is taken to be
 * restored from a backup and is accepted.
 */
const RESTORE_CONFIRMATION_MS = 60_000;

/** Dependencies and settings of {@link HostListWatch}. */
export interface HostListWatchOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly platform: PlatformReader;
  /** How long one read waits for a change, in milliseconds. */
  readonly readWaitMs: number;
  /** Called with each accepted list and the time at which its read was started. */
  readonly onList: (list: HostList, begunAtMs: number) => void;
}

/** Reads the host list repeatedly until it is stopped. */
export class HostListWatch {
  readonly #options: HostListWatchOptions;

  readonly #staleReadFilter = new StaleReadFilter(RESTORE_CONFIRMATION_MS);

  readonly #loggedFaultIndexes = new Map<string, number>();

  #afterIndex = 0;

  #consecutiveFailures = 0;

  #isStopped = false;

  #isRestarting = false;

  /** Aborts the current read or ends the delay between two reads. */
  #interrupt: () => void = () => undefined;

  /** @param options - dependencies and settings */
  constructor(options: HostListWatchOptions) {
    this.#options = options;
  }

  /** Runs the watch. @returns a promise that resolves after {@link HostListWatch.stop} */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const startedAtMs = this.#options.clock.nowMs();
      this.#isRestarting = false;
      await this.#readOnce(startedAtMs);
      if (!this.#isRestarting) await this.#delay(this.#computeDelayMs(startedAtMs));
    }
  }

  /** Aborts the current read and starts one that returns at once. */
  restart(): void {
    this.#isRestarting = true;
    this.#afterIndex = 0;
    this.#interrupt();
  }

  /** Stops the watch. */
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

  /**
   * Reads the list with a timeout, so that neither a silent connection nor a reader
   * that ignores the abort signal can block the watch.
   */
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
    this.#interrupt = () => controller.abort(new Error('the read was aborted'));
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
    if (!this.#staleReadFilter.acceptIndex(snapshot.index, this.#options.clock.nowMs())) {
      this.#options.metrics.count('host_list_older_reads_total');
      return;
    }
    this.#afterIndex = snapshot.index;
    const hosts = snapshot.entries.map((entry) => this.#parseEntry(entry));
    const list = { index: snapshot.index, hosts: hosts.filter((host) => host !== undefined) };
    this.#options.onList(list, startedAtMs);
  }

  /** Parses one entry; logs and skips an invalid one, so that the other hosts stay visible. */
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

  /** Logs the first of several consecutive failures as a warning and the rest at debug level. */
  #logFailure(error: unknown): void {
    const level = this.#consecutiveFailures === 1 ? LogLevel.Warn : LogLevel.Debug;
    const reason = formatReason(error);
    this.#options.log.write(level, 'host_list_read_failed', {
      reason,
      failures: this.#consecutiveFailures,
    });
  }

  #computeDelayMs(startedAtMs: number): number {
    const { clock, random } = this.#options;
    if (this.#consecutiveFailures === 0)
      return Math.max(0, startedAtMs + MIN_READ_INTERVAL_MS - clock.nowMs());
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
