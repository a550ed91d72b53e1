/**
 * Starts entry hosts with the command of the deploy file and settings as its template renders them,
 * on loopback addresses.
 */
import { spawn } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';

const ROOT = path.resolve(import.meta.dirname, '../..');

const MEMORY_MB = 350;

/** Arguments of the deploy file. */
const ARGUMENTS = [
  '--no-lazy-feedback-allocation',
  `--max-old-space-size=${MEMORY_MB}`,
  '--max-semi-space-size=4',
  'target/monsoonhall.cjs',
];

const ZONES = ['hall-a', 'hall-b', 'hall-c'];

/** Bounds of the small sites. */
const BOUNDS = {
  coreShare: 0.675,
  coreSpeed: 1,
  memoryMb: MEMORY_MB,
  maxDescriptors: 4_100,
  stopLimitS: 8,
  keyRevocationMs: 5_000,
  configurationApplyMs: 2_000,
  maxAddressLifeS: 5,
  retryRatio: 0.2,
  retrySlack: 54,
  retryWindowS: 10,
};

function reservePort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

async function isReady({ settings }) {
  try {
    return (await fetch(`http://${settings.readinessAddress}/api/readyz`)).status === 200;
  } catch {
    return false;
  }
}

export class Fleet {
  hosts = [];

  #folder = mkdtempSync(path.join(tmpdir(), 'monsoonhall-review-'));

  #outputs = [];

  /** @param storeAddress - address of the store. @param settings - settings beside those of small sites */
  constructor(storeAddress, settings = {}) {
    this.storeAddress = storeAddress;
    this.settings = settings;
  }

  async start(count) {
    for (let index = 0; index < count; index += 1) {
      // The metrics port is the same for all hosts, so that each needs an IP address of its own.
      const ip = `127.${100 + (process.pid % 100)}.${Math.floor(process.pid / 100) % 250}.${index + 1}`;
      const ports = [];
      while (ports.length < 4) ports.push(await reservePort(ip));
      const [callers, ready, peers, book] = ports;
      this.hosts.push({
        index,
        callersAddress: `${ip}:${callers}`,
        settings: {
          hostId: `edge-${index + 1}`,
          ip,
          availabilityZone: ZONES[index % ZONES.length],
          zoneRegions: Object.fromEntries(ZONES.map((zone) => [zone, 'mu-north'])),
          callersAddress: `${ip}:${callers}`,
          readinessAddress: `${ip}:${ready}`,
          peersAddress: `${ip}:${peers}`,
          addressBookAddress: `${ip}:${book}`,
          ...BOUNDS,
          storeAddress: this.storeAddress,
          ...this.settings,
        },
      });
    }
    const seedPeerAddresses = this.hosts.slice(0, 3).map(({ settings }) => settings.peersAddress);
    this.hosts.forEach((host) => {
      Object.assign(host.settings, { seedPeerAddresses });
      this.spawn(host);
    });
  }

  spawn(host) {
    const file = path.join(this.#folder, `${host.settings.hostId}.json`);
    writeFileSync(file, JSON.stringify(host.settings));
    const output = openSync(path.join(this.#folder, `${host.settings.hostId}.log`), 'a');
    this.#outputs.push(output);
    const child = spawn(process.execPath, ARGUMENTS, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, MONSOONHALL_CONFIG: file },
      stdio: ['ignore', output, output],
    });
    const exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => resolve({ code, signal }));
    });
    Object.assign(host, {
      child,
      exited,
      logFile: path.join(this.#folder, `${host.settings.hostId}.log`),
    });
  }

  /** Waits until all hosts say that they are ready. */
  async waitReady(limitMs = 15_000) {
    const untilMs = Date.now() + limitMs;
    for (;;) {
      const states = await Promise.all(this.hosts.map((host) => isReady(host)));
      if (states.every(Boolean)) return;
      if (Date.now() > untilMs) throw new Error('the hosts did not become ready');
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
    }
  }

  async stop() {
    this.hosts.forEach(({ child }) => {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    });
    await Promise.all(this.hosts.map(({ exited }) => exited));
    this.#outputs.forEach((output) => closeSync(output));
    if (process.env.KEEP) process.stderr.write(`logs in ${this.#folder}\n`);
    else rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** @returns a configuration with one route of each kind and one tenant */
export function buildConfiguration(version, changes = {}) {
  const route = {
    host: 'api.example',
    timeoutMs: 12_000,
    targetLatencyMs: 400,
    priority: 0,
    service: 'engines',
    maxAttempts: 2,
    anonymous: false,
  };
  return {
    version,
    routes: [
      { ...route, name: 'read', prefix: '/read/', routeType: 'idempotent' },
      { ...route, name: 'write', prefix: '/write/', routeType: 'non_idempotent', maxAttempts: 1 },
      {
        ...route,
        name: 'stream',
        prefix: '/stream/',
        routeType: 'streaming',
        streamResumption: true,
        targetGapMs: 200,
      },
      {
        ...route,
        name: 'once',
        prefix: '/once/',
        routeType: 'streaming',
        maxAttempts: 1,
        targetGapMs: 200,
      },
    ],
    services: [{ name: 'engines', healthPath: '/healthz', maxConnections: 200 }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'firm-a', apiKeys: ['key-of-firm-a'], ratePerS: 0, burst: 0 }],
    ...changes,
  };
}
