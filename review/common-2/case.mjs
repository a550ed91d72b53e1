/**
 * The frame of a case: starts the store and the hosts, records what is sent, answered and run, and ends
 * with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
 */
import { existsSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { call, nextId } from './client.mjs';
import { buildConfiguration, Fleet } from './fleet.mjs';
import { Store } from './store.mjs';

const ROOT = path.resolve(import.meta.dirname, '../..');

/** Time in which all hosts find each other, in milliseconds. */
const SETTLE_MS = 2_000;

/** Whether the disruption is brought about. */
export const hasTrouble = process.env.TROUBLE !== '0';

export function sleep(delayMs) {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

export class Case {
  store = new Store();

  #startedAtMs = Date.now();

  #lines = [];

  #folder;

  #endings = [];

  constructor(folder) {
    this.#folder = folder;
  }

  /** Adds a line to the record. */
  record = (event, fields = {}) => {
    const atMs = String(Date.now() - this.#startedAtMs).padStart(6);
    this.#lines.push(`${atMs} ms  ${event} ${JSON.stringify(fields)}`);
  };

  /** Has a function called when the case ends. */
  onEnd(handler) {
    this.#endings.push(handler);
  }

  /** Starts entry hosts, and waits until all are ready. */
  async startHosts(count, configuration = buildConfiguration(3), settings = {}) {
    if (!existsSync(path.join(ROOT, 'target/monsoonhall.cjs'))) throw new Error('not built');
    this.store.put('op/config', configuration);
    this.fleet = new Fleet(this.store.address, settings);
    this.onEnd(() => this.fleet.stop());
    await this.fleet.start(count);
    await this.fleet.waitReady();
    await sleep(SETTLE_MS);
    this.record('hosts ready', { count });
    return this.fleet.hosts;
  }

  /** Sends a request to a host on a channel of its own, and records it with its answer. */
  async send(host, options) {
    const request = { id: nextId(), ...options };
    const { id, target } = request;
    this.record('sent', { id, host: host.settings.hostId, target });
    const answer = await call(host.callersAddress, request);
    const { status, headers, body } = answer;
    this.record('answered', { id, status, seal: headers['response-seal'], bytes: body.length });
    return { ...answer, id, target };
  }

  /** Runs the case and ends the process. */
  static async run(folder, body) {
    const one = new Case(folder);
    let code = 2;
    try {
      await one.store.start();
      const faults = await body(one);
      faults.forEach((fault) => one.record('BROKEN', fault));
      code = faults.length > 0 ? 1 : 0;
    } catch (error) {
      one.record('could not run', { reason: String(error?.stack ?? error) });
    }
    for (const end of one.#endings.reverse()) await end();
    one.store.stop();
    one.record('ends', { code, hasTrouble });
    writeFileSync(path.join(folder, 'record.txt'), `${one.#lines.join('\n')}\n`);
    process.stdout.write(`${one.#lines.slice(-12).join('\n')}\n`);
    process.exit(code);
  }
}
