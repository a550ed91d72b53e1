/**
 * Keeps the configuration in force of one entry host.
 *
 * @module
 */
import {
  buildIndex,
  EMPTY_STATE,
  findRevision,
  hashState,
  mergeEntries,
  mergeSnapshot,
} from '../../domain/configuration/mod.js';
import type {
  ConfigurationIndex,
  ConfigurationState,
  MergeResult,
} from '../../domain/configuration/mod.js';
import type {
  AccountContract,
  BackendServer,
  EngineKind,
  Service,
} from '../../domain/contracts/types.js';
import { LogLevel, formatReason } from '../../domain/errors/mod.js';
import type {
  Clock,
  EventLog,
  Metrics,
  PeerNetwork,
  PlatformReader,
  PlatformSnapshot,
  Timer,
} from '../../ports/mod.js';
import { ConfigurationView } from '../views/mod.js';
import type { ConfigurationStatus } from '../views/mod.js';
import { ChangeRecorder, ChangeSource } from './_change_recorder.js';
import { PeerExchange } from './_peer_exchange.js';
import { PlatformWatch } from './_platform_watch.js';
import { StartGate } from './_start_gate.js';

/** Options of {@link ConfigurationKeeper}. */
export interface ConfigurationKeeperOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Reads the configuration service. */
  readonly platform: PlatformReader;
  readonly peers: PeerNetwork;
  /** How long the service may hold a watch, in milliseconds. */
  readonly waitMs: number;
  /** How long a starting entry host waits for peers before it trusts the service alone, in milliseconds. */
  readonly restartPatienceMs: number;
}

/** Operators compare the silence with seconds; its fractions are noise. */
function roundSilence(silentMs: number | undefined): number | undefined {
  return silentMs === undefined ? undefined : Math.round(silentMs);
}

/** What is answered before anything is in force. */
const EMPTY_INDEX = buildIndex(EMPTY_STATE);

/**
 * Reads and watches the configuration service, exchanges accepted entries with
 * peers, and answers what is in force.
 */
export class ConfigurationKeeper extends ConfigurationView {
  readonly #options: ConfigurationKeeperOptions;

  readonly #watch: PlatformWatch;

  readonly #exchange: PeerExchange;

  readonly #recorder: ChangeRecorder;

  readonly #gate = new StartGate();

  readonly #handlers: (() => void)[] = [];

  #state: ConfigurationState = EMPTY_STATE;

  #index: ConfigurationIndex = EMPTY_INDEX;

  #hash = hashState(EMPTY_STATE);

  #revision = 0;

  #hasLoaded = false;

  /** The newest answer of the service, while the gate is still shut. */
  #heldSnapshot: PlatformSnapshot | undefined;

  #patience: Timer | undefined;

  /** @param options - ports and times */
  constructor(options: ConfigurationKeeperOptions) {
    super();
    this.#options = options;
    this.#recorder = new ChangeRecorder(options);
    this.#watch = new PlatformWatch({
      ...options,
      onSnapshot: (snapshot) => this.#acceptSnapshot(snapshot),
    });
    this.#exchange = new PeerExchange({
      ...options,
      getState: () => this.#state,
      getHash: () => this.#hash,
      hasLoaded: () => this.#hasLoaded,
      onEntries: (entries, { incarnation }) => {
        this.#apply(mergeEntries(this.#state, entries), ChangeSource.Peer, incarnation);
      },
      onAnswered: () => {
        this.#gate.notePeer();
        this.#openGate();
      },
    });
  }

  /** Starts to ask peers and to read and watch the service. */
  start(): void {
    this.#exchange.start();
    this.#watch.start();
    this.#patience = this.#options.clock.setTimer(this.#options.restartPatienceMs, () => {
      this.#gate.notePatienceOver();
      this.#openGate();
    });
  }

  /** Ends the watch. @returns when it has ended */
  async stop(): Promise<void> {
    this.#patience?.cancel();
    this.#exchange.stop();
    await this.#watch.stop();
  }

  /** @returns whether a configuration is in force that may be acted on */
  hasLoaded(): boolean {
    return this.#hasLoaded;
  }

  /**
   * Takes what a peer's heartbeat says of its configuration. A peer that is
   * behind will ask by itself; one that is not is asked.
   *
   * @param incarnation - which peer
   * @param revision - its highest accepted revision
   * @param hash - the hash over its accepted entries
   */
  handlePeerRevision(incarnation: string, revision: number, hash: string): void {
    if (hash === this.#hash) return;
    this.#exchange.noteDifference(incarnation, hash);
    if (!this.#hasLoaded || revision >= this.#revision) this.#exchange.sendDigest(incarnation);
  }

  override getStatus(): ConfigurationStatus {
    return {
      revision: this.#revision,
      hash: this.#hash,
      platformIndex: this.#watch.index,
      platformSilentMs: roundSilence(this.#watch.silentMs),
      accountCount: this.#index.accounts.size,
      rejected: [...this.#state.rejected.values()].map(({ key, revision, reasons }) => ({
        key,
        revision,
        reasons,
      })),
    };
  }

  override findAccountByKeyHash(keyHash: string): AccountContract | undefined {
    return this.#getIndex().accountsByKeyHash.get(keyHash);
  }

  override findAccount(accountId: string): AccountContract | undefined {
    return this.#getIndex().accounts.get(accountId);
  }

  override listAccounts(): readonly AccountContract[] {
    return [...this.#getIndex().accounts.values()];
  }

  override listServices(): readonly Service[] {
    return [...this.#getIndex().services.values()];
  }

  override findService(serviceId: string): Service | undefined {
    return this.#getIndex().services.get(serviceId);
  }

  override findServiceByModel(model: string): Service | undefined {
    return this.#getIndex().servicesByModel.get(model);
  }

  override findBackendServer(backendServerId: string): BackendServer | undefined {
    return this.#getIndex().backendServers.get(backendServerId);
  }

  override findEngineKind(engineKindId: string): EngineKind | undefined {
    return this.#getIndex().engineKinds.get(engineKindId);
  }

  override onChange(handler: () => void): void {
    this.#handlers.push(handler);
  }

  #acceptSnapshot(snapshot: PlatformSnapshot): void {
    this.#gate.noteService();
    const highest = Math.max(this.#revision, this.#state.snapshotIndex);
    this.#recorder.recordServiceIndex(snapshot.index, highest);
    if (this.#hasLoaded) {
      this.#mergeSnapshot(snapshot);
      return;
    }
    if (snapshot.index >= (this.#heldSnapshot?.index ?? 0)) this.#heldSnapshot = snapshot;
    this.#openGate();
  }

  #openGate(): void {
    if (this.#hasLoaded || !this.#gate.isOpen()) return;
    if (this.#heldSnapshot) this.#mergeSnapshot(this.#heldSnapshot);
    this.#heldSnapshot = undefined;
    this.#hasLoaded = true;
    this.#patience?.cancel();
    this.#options.log.write(LogLevel.Info, 'configuration_loaded', { revision: this.#revision });
    this.#notifyHandlers();
  }

  #mergeSnapshot({ index, entries }: PlatformSnapshot): void {
    const snapshot = {
      index,
      entries: entries.map(({ key, value, modifyIndex }) => ({
        key,
        value,
        revision: modifyIndex,
      })),
    };
    this.#apply(mergeSnapshot(this.#state, snapshot), ChangeSource.Service);
  }

  #apply({ state, changed, refused }: MergeResult, source: ChangeSource, from?: string): void {
    this.#state = state;
    refused.forEach((entry) => this.#recorder.recordRefused(entry));
    if (changed.length === 0) return;
    this.#index = buildIndex(state);
    this.#hash = hashState(state);
    this.#revision = findRevision(state);
    this.#recorder.recordChange({
      revision: this.#revision,
      count: changed.length,
      source,
      keyClashes: this.#index.keyClashes,
    });
    if (this.#hasLoaded) this.#exchange.notify(changed, from);
    if (this.#hasLoaded) this.#notifyHandlers();
  }

  /**
   * Until it is loaded nothing is answered: a peer's first answer may hold a
   * part only, and who acted on that would refuse accounts that are in force.
   */
  #getIndex(): ConfigurationIndex {
    return this.#hasLoaded ? this.#index : EMPTY_INDEX;
  }

  #notifyHandlers(): void {
    this.#handlers.forEach((handler) => {
      try {
        handler();
      } catch (error) {
        // One part's fault must not keep the others from hearing of the change.
        this.#options.log.write(LogLevel.Error, 'configuration_handler_failed', {
          reason: formatReason(error),
        });
      }
    });
  }
}
