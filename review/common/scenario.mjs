/**
 * Starts the store, the replicas and the entry hosts of a case, and writes its record.
 *
 * @module
 */
import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import { buildConfiguration } from './configuration.mjs';
import { Hosts } from './hosts.mjs';
import { findFreePorts } from './ports.mjs';
import { Replica } from './replica.mjs';
import { Store } from './store.mjs';

/** Whether the case plays its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Time for which hosts get to know each other before a case begins, in milliseconds. */
const SETTLE_MS = 2_000;

/** @param {number} delayMs - time to wait, in milliseconds */
export function wait(delayMs) {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Lines of the record, with the time since the start of the case in seconds. */
export class Record {
  #startedAtMs = performance.now();

  #lines = [];

  /** @param {number} timeMs - a time. @returns {string} seconds since the start */
  format(timeMs) {
    return ((timeMs - this.#startedAtMs) / 1_000).toFixed(3);
  }

  /** @param {string} text - what happens now */
  note(text) {
    this.#lines.push(`${this.format(performance.now())} ${text}`);
  }

  /** Notes what each client sent and saw, and what ran. */
  noteAnswers(answers, runs) {
    answers.forEach(({ id, status, error, sentAtMs, endedAtMs }) => {
      const ran = runs
        .filter((one) => one.id === id)
        .map((one) => `ran ${this.format(one.startedAtMs)} to ${this.format(one.endedAtMs)}`);
      const times = `sent ${this.format(sentAtMs)} ended ${this.format(endedAtMs)}`;
      this.#lines.push(`${id} ${times} status ${status} ${error} ${ran.join(', ') || 'never ran'}`);
    });
  }

  /** @param {string} folder - folder of the case */
  write(folder) {
    writeFileSync(path.join(folder, 'record.txt'), `${this.#lines.join('\n')}\n`);
  }
}

/**
 * Plays a case and ends the process with its result.
 *
 * @param {object} scenario - folder, number of hosts, options of the replicas, the configuration,
 *   and play, which gets the parts and returns whether the rule was broken
 */
export async function runScenario({ folder, hostCount, replicas, configuration, play }) {
  const record = new Record();
  const store = new Store();
  const hosts = new Hosts();
  const servers = replicas.map((options) => new Replica(options));
  let code = 2;
  try {
    const [storePort, ...ports] = await findFreePorts(1 + servers.length);
    await store.start(storePort);
    store.put('op/config', configuration ?? buildConfiguration(7));
    await Promise.all(servers.map((server, index) => server.start(ports[index], store)));
    await hosts.start(hostCount, store.address);
    if (!(await hosts.waitReady())) throw new Error('the hosts are not ready');
    await wait(SETTLE_MS);
    code = (await play({ record, store, hosts, servers })) ? 1 : 0;
  } catch (error) {
    record.note(`could not run: ${error.stack}`);
  } finally {
    await hosts.stop();
    servers.forEach((server) => server.stop());
    store.stop();
    record.note(`result ${code}`);
    record.write(folder);
  }
  process.exit(code);
}
