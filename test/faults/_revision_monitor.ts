/**
 * Monitors that the configuration revision of no entry host ever decreases.
 *
 * @module
 */
import type { EntryHost } from '../fleet/mod.js';
import { isReady, WAIT_TIMEOUT_MS, readConfiguration, waitForAll } from './_admin.js';

const SAMPLE_INTERVAL_MS = 200;

/** Polls the configuration revision of every entry host that serves callers. */
export class RevisionMonitor {
  /** One line per observed decrease of a revision. */
  readonly regressions: string[] = [];

  /** Number of successful reads. */
  sampleCount = 0;

  readonly #hosts: readonly EntryHost[];

  /** Highest revision of each entry host by ID, over all its starts. */
  readonly #highest = new Map<string, number>();

  #isStopped = false;

  readonly #polling: Promise<unknown>;

  /** @param hosts - entry hosts to monitor */
  constructor(hosts: readonly EntryHost[]) {
    this.#hosts = hosts;
    this.#polling = Promise.all(hosts.map((host) => this.#poll(host)));
  }

  /** Stops the monitoring. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#polling;
  }

  /**
   * Waits until all entry hosts have the same entries, at a given revision or a later one.
   *
   * @param revision - index of a write
   * @returns duration of the wait in milliseconds
   */
  waitUntilInEffect(revision: number): Promise<number> {
    return waitForAll(
      this.#hosts.slice(0, 1),
      `revision ${revision} at every entry host`,
      async () => {
        const reports = await Promise.all(this.#hosts.map(readConfiguration));
        return (
          new Set(reports.map(({ hash }) => hash)).size === 1 &&
          reports.every((report) => report.revision >= revision)
        );
      },
    );
  }

  async #poll(host: EntryHost): Promise<void> {
    while (!this.#isStopped) {
      await this.#sample(host).catch(() => undefined);
      await new Promise((resolve) => {
        setTimeout(resolve, SAMPLE_INTERVAL_MS);
      });
    }
  }

  /** Skips an entry host that does not serve yet: its configuration is not in effect. */
  async #sample(host: EntryHost): Promise<void> {
    if (!host.isRunning || !(await isReady(host))) return;
    const { revision } = await readConfiguration(host);
    const highest = this.#highest.get(host.id) ?? 0;
    if (revision < highest) this.regressions.push(`${host.id} went from ${highest} to ${revision}`);
    this.#highest.set(host.id, Math.max(highest, revision));
    this.sampleCount += 1;
  }
}

/**
 * Lists the revision that an entry host loaded first at each of its starts.
 *
 * @param host - the entry host
 * @returns one revision per start, in order
 */
export function listFirstRevisions(host: EntryHost): readonly number[] {
  return [...host.output.matchAll(/event=configuration_loaded revision=(\d+)/g)].map((match) =>
    Number(match[1]),
  );
}

/**
 * Waits until all entry hosts have logged, since this call, that the configuration service is
 * unreachable.
 *
 * @param hosts - the entry hosts
 * @returns duration of the wait in milliseconds
 */
export function waitUntilServiceLost(hosts: readonly EntryHost[]): Promise<number> {
  const lossCounts = new Map(hosts.map((host) => [host.id, countLosses(host)]));
  return waitForAll(
    hosts,
    `the loss of the service, within ${WAIT_TIMEOUT_MS} ms`,
    async (host) => countLosses(host) > (lossCounts.get(host.id) ?? 0),
  );
}

function countLosses(host: EntryHost): number {
  return host.output.split('event=configuration_service_unreachable').length;
}
