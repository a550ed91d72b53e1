/**
 * Starts the processes of a test fleet step by step.
 *
 * @module
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { ProcessReaper } from './_process_reaper.js';
import {
  buildEngineSpec,
  buildEntryHostSpec,
  buildPlainSpec,
  buildPlatformSpec,
  pickEngineKind,
} from './_program_specs.js';
import type { BackendSpecOptions, EntryHostPorts, EntryHostSettings } from './_program_specs.js';
import { findSocketOwner } from './_socket_owner.js';
import type { ConnectionPorts } from './_socket_owner.js';
import { CutProxy } from './cut_proxy.js';
import type { BackendServerDocument, FleetDocument } from './documents.js';
import { Fleet } from './fleet.js';
import type { ResolvedFleetOptions } from './fleet_options.js';
import { BackendServer, EntryHost, PlatformProcess } from './fleet_process.js';
import type { FleetProcess, ProgramSpec } from './fleet_process.js';
import type { HostEntry } from './operator.js';
import { PortReservation } from './port_reservation.js';
import { ENGINE_KINDS } from './shapes.js';

const CLIENT_HOST = '127.0.0.1';

function buildUrl(port: number): string {
  return `http://${CLIENT_HOST}:${port}`;
}

function createIndexRange(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}

function buildServiceDocuments(
  options: ResolvedFleetOptions,
  engines: readonly BackendServerDocument[],
  plainServers: readonly BackendServerDocument[],
): FleetDocument {
  const { shape, dispatchGroupSize } = options;
  const commonFields = { checksOrders: true, dispatchGroupSize };
  return {
    services: [
      {
        ...commonFields,
        id: shape.modelService,
        kind: 'model',
        models: [shape.model],
        honoursContinue: true,
        backendServers: engines,
      },
      {
        ...commonFields,
        id: shape.plainService,
        kind: 'plain',
        models: [],
        honoursContinue: options.plainHonoursContinue,
        backendServers: plainServers,
      },
    ],
    engineKinds: ENGINE_KINDS,
  };
}

/** Starts one fleet, or stops the part of it that has been started. */
export class FleetBuilder {
  readonly #folder = mkdtempSync(path.join(tmpdir(), 'monsoonhall-fleet-'));

  readonly #reaper = new ProcessReaper(this.#folder);

  readonly #ports = new PortReservation();

  readonly #processes: FleetProcess[] = [];

  readonly #proxies: CutProxy[] = [];

  /** @param options - options of the fleet */
  constructor(readonly options: ResolvedFleetOptions) {}

  /** Starts all processes and publishes the documents. @returns the running fleet */
  async build(): Promise<Fleet> {
    this.options.onProgress('starting the platform and the backend servers');
    const configuration = await this.#createPlatform('configuration', 0);
    const hostList = await this.#createPlatform('host-list', this.options.hostListLagMs);
    const engines = await this.#createEngines();
    const plainServers = await this.#createPlainServers();
    await this.#startAll([configuration, hostList, ...engines, ...plainServers]);
    await this.#publishDocuments(configuration, engines, plainServers);

    this.options.onProgress('starting the entry hosts');
    const entryHosts = await this.#createEntryHosts(configuration.readUrl, hostList.readUrl);
    const hosts = [...entryHosts, ...engines, ...plainServers];
    await Promise.all(hosts.map((host) => hostList.operator.publishHost(host.listed)));
    await this.#startAll(entryHosts);
    const { options } = this;
    return new Fleet({
      options,
      reaper: this.#reaper,
      ports: this.#ports,
      configuration,
      hostList,
      engines,
      plainServers,
      entryHosts,
    });
  }

  /** Stops all processes and proxies that have been started so far. */
  async stop(): Promise<void> {
    this.#processes.forEach((each) => each.kill('SIGKILL'));
    await Promise.all(this.#processes.map((each) => each.waitForExit()));
    await Promise.all(this.#proxies.map((proxy) => proxy.close()));
    await this.#reaper.close();
    await this.#ports.close();
  }

  async #startAll(processes: readonly FleetProcess[]): Promise<void> {
    this.#processes.push(...processes);
    await Promise.all(processes.map((each) => each.start()));
  }

  async #openProxyIf(
    isWanted: boolean | undefined,
    port: number,
    findSource?: (ports: ConnectionPorts) => Promise<string>,
  ): Promise<CutProxy | undefined> {
    if (!isWanted) return undefined;
    const proxy = new CutProxy({ host: CLIENT_HOST, port }, findSource);
    await proxy.open(await this.#ports.reserve());
    this.#proxies.push(proxy);
    return proxy;
  }

  /** Returns the ID of the entry host that opened a proxied connection; empty if none did. */
  async #findSource(ports: ConnectionPorts): Promise<string> {
    const entryHosts = this.#processes.filter((each) => each instanceof EntryHost);
    const pid = await findSocketOwner(
      ports,
      entryHosts.map((each) => each.pid),
    );
    return entryHosts.find((each) => each.pid === pid)?.id ?? '';
  }

  async #createPlatform(role: string, lagMs: number): Promise<PlatformProcess> {
    const port = await this.#ports.reserve();
    const url = buildUrl(port);
    const { configuration, hostList } = this.options.proxied;
    return new PlatformProcess({
      id: role,
      url,
      spec: buildPlatformSpec(role, port, lagMs),
      readyUrl: `${url}/_standin/reads`,
      reaper: this.#reaper,
      proxy: await this.#openProxyIf(
        role === 'host-list' ? hostList : configuration,
        port,
        (ports) => this.#findSource(ports),
      ),
    });
  }

  #createEngines(): Promise<BackendServer[]> {
    const { engineCount, shape } = this.options;
    const create = async (index: number): Promise<BackendServer> => {
      const port = await this.#ports.reserve();
      const id = `engine-${index + 1}`;
      const spec = buildEngineSpec(index, port, this.#buildSpecOptions(id));
      return this.#createBackendServer(id, shape.modelService, port, spec);
    };
    return Promise.all(createIndexRange(engineCount).map(create));
  }

  #createPlainServers(): Promise<BackendServer[]> {
    const { plainServerCount, shape } = this.options;
    const create = async (index: number): Promise<BackendServer> => {
      const port = await this.#ports.reserve();
      const id = `plain-${index + 1}`;
      const spec = buildPlainSpec(index, port, this.#buildSpecOptions(id));
      return this.#createBackendServer(id, shape.plainService, port, spec);
    };
    return Promise.all(createIndexRange(plainServerCount).map(create));
  }

  async #createBackendServer(
    id: string,
    service: string,
    port: number,
    spec: ProgramSpec,
  ): Promise<BackendServer> {
    const url = buildUrl(port);
    // No findSource here: the look-up may take longer than an entry host waits for 100 Continue.
    const proxy = await this.#openProxyIf(this.options.proxied.backendServers, port);
    const listed: HostEntry = {
      id,
      role: 'backend_server',
      url: proxy?.url ?? url,
      availabilityZone: this.#pickZone(Number(id.split('-').at(-1)) - 1),
      state: 'live',
    };
    const processOptions = { id, url, spec, readyUrl: `${url}/_standin/runs`, proxy };
    const { runsFile } = this.#buildSpecOptions(id);
    const options = { service, listed, runsFile };
    return new BackendServer({ ...processOptions, reaper: this.#reaper }, options);
  }

  #buildSpecOptions(id: string): BackendSpecOptions {
    return { options: this.options, runsFile: path.join(this.#folder, `${id}.jsonl`) };
  }

  async #publishDocuments(
    { operator }: PlatformProcess,
    engines: readonly BackendServer[],
    plainServers: readonly BackendServer[],
  ): Promise<void> {
    const engineDocuments = engines.map(({ listed }, index) => ({
      id: listed.id,
      url: listed.url ?? '',
      availabilityZone: listed.availabilityZone,
      engineKind: pickEngineKind(index).id,
    }));
    const plainDocuments = plainServers.map(({ listed }) => ({
      id: listed.id,
      url: listed.url ?? '',
      availabilityZone: listed.availabilityZone,
    }));
    await operator.publishFleet(
      buildServiceDocuments(this.options, engineDocuments, plainDocuments),
    );
    const { contracts } = this.options.shape;
    await Promise.all(contracts.map((contract) => operator.publishContract(contract)));
  }

  async #createEntryHosts(configurationUrl: string, hostListUrl: string): Promise<EntryHost[]> {
    const indexes = createIndexRange(this.options.entryHostCount);
    const ports = await Promise.all(indexes.map(() => this.#reserveEntryHostPorts()));
    const proxies = await Promise.all(
      ports.map((each) =>
        this.#openProxyIf(this.options.proxied.peers, each.peers, (links) =>
          this.#findSource(links),
        ),
      ),
    );
    const peerUrls = ports.map(
      (each, index) => `ws://${CLIENT_HOST}:${proxies[index]?.port ?? each.peers}`,
    );
    return ports.map((each, index) => {
      const settings: EntryHostSettings = {
        id: `entry-${index + 1}`,
        availabilityZone: this.#pickZone(index),
        ports: each,
        peerUrl: peerUrls[index] as string,
        configurationUrl,
        hostListUrl,
        peerUrls: peerUrls.filter((_, other) => other !== index),
      };
      return this.#createEntryHost(settings, proxies[index]);
    });
  }

  async #reserveEntryHostPorts(): Promise<EntryHostPorts> {
    return {
      callers: await this.#ports.reserve(),
      peers: await this.#ports.reserve(),
      admin: await this.#ports.reserve(),
    };
  }

  #createEntryHost(settings: EntryHostSettings, proxy: CutProxy | undefined): EntryHost {
    const { id, availabilityZone, peerUrl, ports } = settings;
    const url = buildUrl(ports.callers);
    const adminUrl = buildUrl(ports.admin);
    const processOptions = {
      id,
      url,
      spec: buildEntryHostSpec(settings, this.options.entryHostFlags),
      readyUrl: `${adminUrl}/v1/readiness`,
      reaper: this.#reaper,
      proxy,
    };
    const listed: HostEntry = {
      id,
      role: 'entry_host',
      url,
      peerUrl,
      availabilityZone,
      state: 'live',
    };
    return new EntryHost(processOptions, adminUrl, listed);
  }

  #pickZone(index: number): string {
    const zones = this.options.shape.availabilityZones;
    return zones[index % zones.length] as string;
  }
}
