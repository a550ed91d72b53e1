/**
 * Starts entry hosts with the command of the deploy file.
 *
 * @module
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import { findFreePorts } from './ports.mjs';

const ROOT = path.resolve(import.meta.dirname, '../..');

/** Memory of the machines of the case, in megabytes. */
const MEMORY_MB = '350';

/** @returns {string[]} program and arguments of the deploy file */
function readCommand() {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const command = /^run = "(.*)"$/m.exec(text)[1].replaceAll('{{limits.memoryMb}}', MEMORY_MB);
  return command.split(' ');
}

/** Processes of entry hosts, their settings and their logs. */
export class Hosts {
  /** Bounds of the small deployment that the case names. */
  bounds = { graceS: 8 };

  list = [];

  #folder = mkdtempSync(path.join(tmpdir(), 'review-'));

  /** @param {number} count - number of hosts. @param {string} storeAddress - the store's address */
  async start(count, storeAddress) {
    const ports = await findFreePorts(count * 4);
    const at = (host, kind) => `127.0.0.1:${ports[host * 4 + kind]}`;
    const indexes = Array.from({ length: count }, (_, index) => index);
    const seeds = indexes.slice(0, 3).map((host) => at(host, 2));
    this.list = indexes.map((host) =>
      this.#spawn({
        hostId: `edge-zone-a-${host + 1}`,
        // Hosts share the port of the metrics, so that each one needs an address of its own.
        ip: `127.1.${Math.floor(ports[host * 4] / 256)}.${ports[host * 4] % 256}`,
        availabilityZone: 'zone-a',
        zoneRegions: { 'zone-a': 'region-a' },
        callersAddress: at(host, 0),
        readinessAddress: at(host, 1),
        peersAddress: at(host, 2),
        addressBookAddress: at(host, 3),
        seedPeerAddresses: seeds,
        storeAddress,
        coreShare: 0.675,
        coreSpeed: 1,
        stopLimitS: this.bounds.graceS,
        keyRevocationMs: 5_000,
        configurationApplyMs: 2_000,
        maxAddressLifeS: 5,
        retryRatio: 0.2,
        retrySlack: 54,
        retryWindowS: 10,
      }),
    );
  }

  #spawn(settings) {
    const file = path.join(this.#folder, `${settings.hostId}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const [program, ...args] = readCommand();
    const log = openSync(path.join(this.#folder, `${settings.hostId}.log`), 'a');
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, MONSOONHALL_CONFIG: file },
      stdio: ['ignore', log, log],
    });
    const host = { settings, child, exit: undefined };
    child.once('exit', (code, signal) => {
      host.exit = { code, signal, atMs: performance.now() };
    });
    return host;
  }

  /** @returns {Promise<boolean>} whether all hosts were ready within a time */
  async waitReady(timeoutMs = 15_000) {
    const untilMs = performance.now() + timeoutMs;
    const isReady = async ({ settings }) => {
      const url = `http://${settings.readinessAddress}/api/readyz`;
      const response = await fetch(url).catch(() => undefined);
      return response?.status === 200;
    };
    while (performance.now() < untilMs) {
      const states = await Promise.all(this.list.map(isReady));
      if (states.every(Boolean)) return true;
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
    }
    return false;
  }

  /** Ends all processes, by their ids, and removes the folder. */
  async stop() {
    await Promise.all(
      this.list.map(
        ({ child, exit }) =>
          new Promise((resolve) => {
            if (exit) resolve();
            else child.once('exit', resolve).kill('SIGKILL');
          }),
      ),
    );
    rmSync(this.#folder, { recursive: true, force: true });
  }
}
