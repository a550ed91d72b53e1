/**
 * Keeps the configuration that is in effect on one entry host.
 *
 * @module
 */
import {
  buildIndex,
  EMPTY_STATE,
  findHighestRevision,
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
import { ConfigurationWatch } from './_configuration_watch.js';
import { StartGate } from './_start_gate.js';

/** Dependencies and times of the configuration of one entry host. */
export interface ConfigurationReplicaOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Reads the configuration service. */
  readonly platform: PlatformReader;
  readonly peers: PeerNetwork;
  /** How long one read of the service waits for a change, in milliseconds. */
  readonly waitMs: number;
  /**
   * How long a starting entry host waits for both the service and a peer before it
   * relies on either of them alone, in milliseconds.
   */
  readonly startTimeoutMs: number;
}

/** Rounds to whole milliseconds; operators compare this age with seconds. */
function roundAnswerAge(answerAgeMs: number | undefined): number | undefined {
  return answerAgeMs === undefined ? undefined : Math.round(answerAgeMs);
}

/** Index that lookups use until the configuration has loaded. */
const EMPTY_INDEX = buildIndex(EMPTY_STATE);

/**
 * Reads and watches the configuration service, exchanges accepted entries with
 * peers, and answers lookups in the configuration that is in effect.
 */
export class ConfigurationReplica extends ConfigurationView {
  readonly #options: ConfigurationReplicaOptions;

  readonly #watch: ConfigurationWatch;

  readonly #exchange: PeerExchange;

  readonly #recorder: ChangeRecorder;

  readonly #startGate = new StartGate();

  readonly #changeHandlers: (() => void)[] = [];

  #state: ConfigurationState = EMPTY_STATE;

  #index: ConfigurationIndex = EMPTY_INDEX;

  #hash = hashState(EMPTY_STATE);

  #revision = 0;

  #hasLoaded = false;

  /** The newest answer of the service while the start gate is still closed. */
  #pendingSnapshot: PlatformSnapshot | undefined;

  #startTimer: Timer | undefined;

  /** @param options - dependencies and times */
  constructor(options: ConfigurationReplicaOptions) {
    super();
    this.#options = options;
    this.#recorder = new ChangeRecorder(options);
    this.#watch = new ConfigurationWatch({
      ...options,
      onSnapshot: (snapshot) => this.#handleSnapshot(snapshot),
    });
    this.#exchange = new PeerExchange({
      ...options,
      getState: () => this.#state,
      getHash: () => this.#hash,
      hasLoaded: () => this.#hasLoaded,
      onEntries: (entries, { incarnation }) => {
        this.#applyMerge(mergeEntries(this.#state, entries), ChangeSource.Peer, incarnation);
      },
      onReplyComplete: () => {
        this.#startGate.recordPeerReply();
        this.#loadIfReady();
      },
    });
  }

  /** Starts to exchange entries with peers and to watch the service. */
  start(): void {
    this.#exchange.start();
    this.#watch.start();
    this.#startTimer = this.#options.clock.setTimer(this.#options.startTimeoutMs, () => {
      this.#startGate.recordTimeout();
      this.#loadIfReady();
    });
  }

  /** Stops the exchange and the watch. @returns a promise that resolves when both have ended */
  async stop(): Promise<void> {
    this.#startTimer?.cancel();
    this.#exchange.stop();
    await this.#watch.stop();
  }

  /** @returns whether a configuration has loaded and is in effect */
  hasLoaded(): boolean {
    return this.#hasLoaded;
  }

  /**
   * Handles the configuration revision of a peer's heartbeat. If the peer's entries
   * differ, sends it a digest, unless this entry host has loaded and the peer is
   * behind; a peer that is behind sends a digest itself.
   *
   * @param incarnation - incarnation of the peer
   * @param revision - the peer's highest accepted revision
   * @param hash - the hash over the peer's accepted entries
   */
  handlePeerRevision(incarnation: string, revision: number, hash: string): void {
    if (hash === this.#hash) return;
    this.#exchange.recordDifference(incarnation, hash);
    if (!this.#hasLoaded || revision >= this.#revision) this.#exchange.sendDigest(incarnation);
  }

  override getStatus(): ConfigurationStatus {
    return {
      revision: this.#revision,
      hash: this.#hash,
      platformIndex: this.#watch.index,
      platformSilentMs: roundAnswerAge(this.#watch.answerAgeMs),
      accountCount: this.#index.accounts.size,
      rejected: [...this.#state.rejected.values()].map(({ key, revision, reasons }) => ({
        key,
        revision,
        reasons,
      })),
    };
  }

  override findAccountByKeyHash(keyHash: string): AccountContract | undefined {
    return this.#getLoadedIndex().accountsByKeyHash.get(keyHash);
  }

  override findAccount(accountId: string): AccountContract | undefined {
    return this.#getLoadedIndex().accounts.get(accountId);
  }

  override listAccounts(): readonly AccountContract[] {
    return [...this.#getLoadedIndex().accounts.values()];
  }

  override listServices(): readonly Service[] {
    return [...this.#getLoadedIndex().services.values()];
  }

  override findService(serviceId: string): Service | undefined {
    return this.#getLoadedIndex().services.get(serviceId);
  }

  override findServiceByModel(model: string): Service | undefined {
    return this.#getLoadedIndex().servicesByModel.get(model);
  }

  override findBackendServer(backendServerId: string): BackendServer | undefined {
    return this.#getLoadedIndex().backendServers.get(backendServerId);
  }

  override findEngineKind(engineKindId: string): EngineKind | undefined {
    return this.#getLoadedIndex().engineKinds.get(engineKindId);
  }

  override onChange(handler: () => void): void {
    this.#changeHandlers.push(handler);
  }

  #handleSnapshot(snapshot: PlatformSnapshot): void {
    this.#startGate.recordServiceAnswer();
    const highestIndex = Math.max(this.#revision, this.#state.snapshotIndex);
    this.#recorder.recordServiceIndex(snapshot.index, highestIndex);
    if (this.#hasLoaded) {
      this.#mergeSnapshot(snapshot);
      return;
    }
    if (snapshot.index >= (this.#pendingSnapshot?.index ?? 0)) this.#pendingSnapshot = snapshot;
    this.#loadIfReady();
  }

  #loadIfReady(): void {
    if (this.#hasLoaded || !this.#startGate.isOpen()) return;
    if (this.#pendingSnapshot) this.#mergeSnapshot(this.#pendingSnapshot);
    this.#pendingSnapshot = undefined;
    this.#hasLoaded = true;
    this.#startTimer?.cancel();
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
    this.#applyMerge(mergeSnapshot(this.#state, snapshot), ChangeSource.Service);
  }

  #applyMerge(
    { state, changed, refused }: MergeResult,
    source: ChangeSource,
    senderIncarnation?: string,
  ): void {
    this.#state = state;
    refused.forEach((entry) => this.#recorder.recordRejected(entry));
    if (changed.length === 0) return;
    this.#index = buildIndex(state);
    this.#hash = hashState(state);
    this.#revision = findHighestRevision(state);
    this.#recorder.recordChange({
      revision: this.#revision,
      entryCount: changed.length,
      source,
      keyClashes: this.#index.keyClashes,
    });
    if (this.#hasLoaded) this.#exchange.notifyPeers(changed, senderIncarnation);
    if (this.#hasLoaded) this.#notifyHandlers();
  }

  /**
   * Returns an empty index until the configuration has loaded. The first entries of a
   * peer may be incomplete, and acting on them would reject valid client accounts.
   */
  #getLoadedIndex(): ConfigurationIndex {
    return this.#hasLoaded ? this.#index : EMPTY_INDEX;
  }

  #notifyHandlers(): void {
    this.#changeHandlers.forEach((handler) => {
      try {
        handler();
      } catch (error) {
        // A handler that fails must not keep the other handlers from being called.
        this.#options.log.write(LogLevel.Error, 'configuration_handler_failed', {
          reason: formatReason(error),
        });
      }
    });
  }
}
