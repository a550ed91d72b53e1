/**
 * Keeps this entry host's view of all entry hosts, itself included.
 *
 * @module
 */
import { hasSameContents, LeavingBackendServers, PeerState } from '../../domain/membership/mod.js';
import type { EntryHostIdentity, EntryHostView, HostList } from '../../domain/membership/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import type { HeartbeatMessage, HeartbeatReplyMessage, LinkEvent, Timer } from '../../ports/mod.js';
import { MembershipView } from '../views/mod.js';
import { FreshnessTracker } from './_freshness_tracker.js';
import { HeartbeatExchange } from './_heartbeat_exchange.js';
import type { HeartbeatContent } from './_heartbeat_exchange.js';
import { HostListWatch } from './_host_list_watch.js';
import { PeerDirectory } from './_peer_directory.js';
import { SilentLinkReplacer } from './_silent_link_replacer.js';
import type {
  GroupLoadsHandler,
  MembershipTrackerOptions,
  PeerConfigurationHandler,
} from './membership_tracker_options.js';

/**
 * Silence after which an unlisted peer is removed. Its requests are answered
 * `owner_gone` from then on; the default lifetime of a request ID is shorter.
 */
const FORGET_AFTER_MS = 3_600_000;

/** Maintains the view from the host list and from heartbeats; either of them suffices alone. */
export class MembershipTracker extends MembershipView {
  override readonly self: EntryHostIdentity;

  readonly #options: MembershipTrackerOptions;

  readonly #directory: PeerDirectory;

  readonly #leavingServers = new LeavingBackendServers();

  readonly #heartbeats: HeartbeatExchange;

  readonly #hostListWatch: HostListWatch;

  readonly #freshness: FreshnessTracker;

  readonly #silentLinkReplacer: SilentLinkReplacer;

  readonly #changeHandlers: (() => void)[] = [];

  readonly #configurationHandlers: PeerConfigurationHandler[] = [];

  readonly #groupLoadHandlers: GroupLoadsHandler[] = [];

  #lastLeavingIds = '';

  #timer: Timer | undefined;

  #isRunning = false;

  /** @param options - dependencies and times */
  constructor(options: MembershipTrackerOptions) {
    super();
    this.#options = options;
    this.self = options.self;
    this.#directory = new PeerDirectory({ ...options, forgetAfterMs: FORGET_AFTER_MS });
    this.#heartbeats = new HeartbeatExchange(options);
    this.#hostListWatch = new HostListWatch({
      ...options,
      onList: (list, begunAtMs) => this.#handleHostList(list, begunAtMs),
    });
    this.#freshness = new FreshnessTracker({
      ...options,
      onResume: (nowMs) => this.#handleResume(nowMs),
    });
    this.#silentLinkReplacer = new SilentLinkReplacer({
      ...options,
      isSilent: (incarnation) => this.#directory.getState(incarnation) === PeerState.Suspected,
    });
    options.peers.onLinkChange((event) => this.#handleLink(event));
    options.peers.handle(PeerMessageType.Heartbeat, (from, message) =>
      this.#handleHeartbeat(from, message),
    );
    options.peers.handle(PeerMessageType.HeartbeatReply, (from, message) =>
      this.#handleReply(from, message),
    );
  }

  /** Starts to watch the host list and to send heartbeats. */
  start(): void {
    this.#isRunning = true;
    this.#freshness.start();
    this.#options.peers.listLinkedPeers().forEach((peer) => this.#addPeer(peer));
    this.#updateAddresses();
    this.#hostListWatch.run().catch((error: unknown) => {
      this.#options.log.write(LogLevel.Error, 'host_list_watch_failed', { reason: String(error) });
    });
    this.#handleTick();
  }

  /** Stops the watch and the heartbeats. The owner of the peer network closes the links. */
  stop(): void {
    this.#isRunning = false;
    this.#hostListWatch.stop();
    this.#timer?.cancel();
    this.#freshness.stop();
  }

  /** Records that this process is stopping, and notifies all peers at once. */
  setStopping(): void {
    if (this.#directory.isSelfStopping) return;
    this.#directory.setSelfStopping();
    this.#sendHeartbeats();
    this.#updateStates();
  }

  /**
   * Records that a backend server is leaving, as it said in a load report or a
   * refusal, and notifies all peers at once.
   *
   * @param backendServerId - ID of the backend server
   */
  recordBackendServerLeaving(backendServerId: string): void {
    if (!this.#leavingServers.recordOwn(backendServerId, this.#options.clock.nowMs())) return;
    this.#options.log.write(LogLevel.Info, 'backend_server_leaving', {
      backendServer: backendServerId,
    });
    this.#sendHeartbeats();
    this.#updateStates();
  }

  /** @param handler - called with the configuration revision and hash of each heartbeat */
  onPeerConfiguration(handler: PeerConfigurationHandler): void {
    this.#configurationHandlers.push(handler);
  }

  /** @param handler - called with the group loads of each heartbeat */
  onGroupLoads(handler: GroupLoadsHandler): void {
    this.#groupLoadHandlers.push(handler);
  }

  override onChange(handler: () => void): void {
    this.#changeHandlers.push(handler);
  }

  override listEntryHosts(): readonly EntryHostView[] {
    return this.#directory.listViews(this.#options.clock.nowMs());
  }

  override listKnownIds(): readonly string[] {
    return this.#directory.listKnownIds();
  }

  override findIncarnation(incarnation: string): EntryHostView | undefined {
    return this.#directory.findView(incarnation, this.#options.clock.nowMs());
  }

  override findEntryHost(id: string): EntryHostView | undefined {
    return this.listEntryHosts().find(({ identity }) => identity.id === id);
  }

  override pickResponsible(key: string): EntryHostIdentity {
    return this.#directory.pickResponsible(key);
  }

  override isBackendServerLeaving(backendServerId: string): boolean {
    return this.#leavingServers.isLeaving(backendServerId);
  }

  /** @returns sorted IDs of backend servers that any reachable entry host reports as leaving */
  listLeavingBackendServers(): readonly string[] {
    return this.#leavingServers.listLeaving();
  }

  override isFresh(): boolean {
    return this.#freshness.isFresh();
  }

  override isStopping(): boolean {
    return this.#directory.isSelfStopping;
  }

  #handleTick(): void {
    if (!this.#isRunning) return;
    this.#timer = this.#options.clock.setTimer(this.#options.heartbeatMs, () => this.#handleTick());
    if (!this.#freshness.detectPause()) this.#sendHeartbeats();
    this.#updateStates();
    this.#silentLinkReplacer.replaceSilentLinks();
  }

  /**
   * Sends new heartbeats and restarts the read of the host list after a pause. Requests
   * that were sent before the pause can't confirm the view: their answers may be as old
   * as the requests.
   */
  #handleResume(nowMs: number): void {
    this.#directory.recordWake(nowMs);
    if (!this.#isRunning) return;
    this.#hostListWatch.restart();
    this.#sendHeartbeats();
  }

  #handleHostList(list: HostList, readStartedAtMs: number): void {
    const nowMs = this.#options.clock.nowMs();
    const idsBefore = this.#leavingServers.listKnownAtFirstHand().join();
    this.#directory.applyHostList(list);
    this.#leavingServers.applyHostList(list, nowMs);
    this.#freshness.acceptRefresh(readStartedAtMs);
    this.#updateAddresses();
    if (this.#leavingServers.listKnownAtFirstHand().join() !== idsBefore) this.#sendHeartbeats();
    this.#updateStates();
  }

  #handleLink({ peer, up }: LinkEvent): void {
    if (!this.#isRunning) return;
    if (up && this.#addPeer(peer)) {
      this.#heartbeats.sendTo(peer.incarnation, this.#buildContent());
    }
    this.#updateStates();
  }

  #handleHeartbeat(from: EntryHostIdentity, message: HeartbeatMessage): void {
    if (!this.#isRunning || !this.#addPeer(from)) return;
    const nowMs = this.#options.clock.nowMs();
    const { incarnation } = from;
    this.#directory.recordContact(incarnation, nowMs);
    this.#heartbeats.sendReply(incarnation, message);
    const previousReport = this.#directory.findReport(incarnation);
    // A heartbeat that a newer one has overtaken on another link must not replace it.
    if (!this.#directory.mergeReport(incarnation, message)) return;
    this.#leavingServers.applyClaims(incarnation, message.leavingBackendServers, nowMs);
    if (!hasSameContents(previousReport, message)) this.#updateStates();
    const { configurationRevision, configurationHash, groups } = message;
    this.#configurationHandlers.forEach((handler) =>
      handler(incarnation, configurationRevision, configurationHash),
    );
    this.#groupLoadHandlers.forEach((handler) => handler(incarnation, groups));
  }

  #handleReply({ incarnation }: EntryHostIdentity, message: HeartbeatReplyMessage): void {
    // A reply may have waited in a buffer during a pause, so the pause is detected first.
    this.#freshness.detectPause();
    const heartbeatSentAtMs = this.#heartbeats.matchReply(message);
    if (heartbeatSentAtMs === undefined) return;
    this.#directory.recordContact(incarnation, this.#options.clock.nowMs());
    this.#directory.recordReply(incarnation, heartbeatSentAtMs);
    this.#freshness.acceptRefresh(heartbeatSentAtMs);
    if (this.#directory.getState(incarnation) === PeerState.Suspected) this.#updateStates();
  }

  #addPeer(identity: EntryHostIdentity): boolean {
    if (identity.incarnation === this.self.incarnation) return false;
    if (this.#directory.getState(identity.incarnation) !== undefined) return true;
    const { accepted, replaced } = this.#directory.addPeer(identity, this.#options.clock.nowMs());
    if (!accepted) return false;
    const { id, incarnation, peerUrl } = identity;
    this.#options.log.write(LogLevel.Info, 'entry_host_seen', {
      entryHost: id,
      incarnation,
      peerUrl,
      replaced: replaced?.incarnation,
    });
    // The link to the old incarnation may be half-open and never be closed.
    if (replaced) this.#options.peers.replaceLink(replaced.incarnation);
    this.#updateAddresses();
    this.#updateStates();
    return true;
  }

  #sendHeartbeats(): void {
    if (this.#isRunning) this.#heartbeats.sendToAll(this.#buildContent());
  }

  #buildContent(): HeartbeatContent {
    const { revision, hash } = this.#options.getConfiguration();
    return {
      ready: this.#options.isReady(),
      leaving: this.#directory.isSelfStopping,
      configurationRevision: revision,
      configurationHash: hash,
      leavingBackendServers: this.#leavingServers.listKnownAtFirstHand(),
      groups: this.#options.listGroupLoads(),
    };
  }

  #updateAddresses(): void {
    this.#options.peers.setPeerUrls(this.#directory.listPeerUrls());
  }

  #updateStates(): void {
    const isChanged = this.#directory.updateStates(this.#options.clock.nowMs());
    const leavingIds = this.#leavingServers.listLeaving().join();
    if (!isChanged && leavingIds === this.#lastLeavingIds) return;
    this.#lastLeavingIds = leavingIds;
    this.#changeHandlers.forEach((handler) => handler());
  }
}
