/**
 * Simulates an entry host that is out of step with the others: cut off, late, or standing still.
 *
 * @module
 */
import type { Timer } from '../../src/ports/mod.js';
import type { DirectHost } from './direct_host.js';
import { ProcessGate } from './process_gate.js';
import { StreamFleet } from './stream_fleet.js';
import type { StreamCaller } from './stream_fleet.js';
import { VirtualClock } from './virtual_clock.js';

/** Time until peers that have given a host up are linked with it again, in milliseconds. */
const RELINK_MS = 400;

/** Time until a host that runs again reads what the store has answered, in milliseconds. */
const READ_MS = 10;

/** How a host is out of step. */
export enum OutOfStep {
  CutFromPeers = 'cut from its peers',
  CutFromSomePeers = 'cut from every other peer',
  SilentPeers = 'without an answer of its peers',
  CutFromStore = 'cut from the store',
  LateStore = 'with late answers of the store',
  CutFromBoth = 'cut from its peers and the store',
  SilentPeersLateStore = 'slow to hear of anything',
  /** Its timers fire before it reads what has come. */
  StandsStill = 'standing still',
  /** It reads its callers' requests before its timers fire. */
  StandsStillCallsFirst = 'standing still with calls that wait',
  /** The monotonic clock doesn't count the time. */
  Suspended = 'suspended',
}

const STANDING: readonly OutOfStep[] = [
  OutOfStep.StandsStill,
  OutOfStep.StandsStillCallsFirst,
  OutOfStep.Suspended,
];

const WITHOUT_PEERS: readonly OutOfStep[] = [OutOfStep.CutFromPeers, OutOfStep.CutFromBoth];

const WITH_SILENT_PEERS: readonly OutOfStep[] = [
  OutOfStep.SilentPeers,
  OutOfStep.SilentPeersLateStore,
];

const WITHOUT_STORE: readonly OutOfStep[] = [OutOfStep.CutFromStore, OutOfStep.CutFromBoth];

const WITH_LATE_STORE: readonly OutOfStep[] = [
  OutOfStep.LateStore,
  OutOfStep.SilentPeersLateStore,
  ...STANDING,
];

/** The clock of a process that may stand still or be suspended. */
class HostClock extends VirtualClock {
  suspendedMs = 0;

  readonly #base: VirtualClock;

  readonly #gate: ProcessGate;

  constructor(base: VirtualClock, gate: ProcessGate) {
    super();
    this.#base = base;
    this.#gate = gate;
  }

  override nowMs(): number {
    return this.#base.nowMs() - this.suspendedMs;
  }

  override wallMs(): number {
    return this.#base.wallMs();
  }

  override setTimer(delayMs: number, callback: () => void): Timer {
    return this.#base.setTimer(delayMs, () => this.#gate.run(callback));
  }
}

/** Entry hosts of which one may be out of step for a while. */
export class OutOfStepFleet extends StreamFleet {
  readonly #gates = new Map<string, ProcessGate>();

  #waitingCalls: (() => void)[] = [];

  /** Puts a host out of step. @returns what brings it back */
  putOutOfStep(host: DirectHost, way: OutOfStep): () => void {
    const { id } = host.peers.identity;
    const peerIds = this.hosts.map(({ peers }) => peers.identity.id).filter((one) => one !== id);
    const startedAtMs = this.clock.nowMs();
    const held = WITH_LATE_STORE.includes(way) ? host.feed.holdChanges() : undefined;
    const gate = this.#gates.get(id) as ProcessGate;
    if (STANDING.includes(way)) gate.freeze();
    if (WITHOUT_STORE.includes(way)) Object.assign(host.feed, { isDown: true });
    peerIds.forEach((peerId, index) => {
      const isSome = way === OutOfStep.CutFromSomePeers && index % 2 === 0;
      if (WITHOUT_PEERS.includes(way) || isSome) this.hub.cut(id, peerId);
      else if (WITH_SILENT_PEERS.includes(way)) this.hub.silence(id, peerId);
      else if (STANDING.includes(way)) this.hub.hold(id, peerId);
    });
    return () => {
      if (way === OutOfStep.Suspended)
        Object.assign(host.clock, { suspendedMs: this.clock.nowMs() - startedAtMs });
      if (way === OutOfStep.StandsStillCallsFirst) this.#passCalls();
      gate.thaw();
      Object.assign(host.feed, { isDown: false });
      this.#passCalls();
      if (STANDING.includes(way)) this.#relink(id, peerIds);
      else this.hub.healAll();
      this.clock.setTimer(READ_MS, () => held?.release());
    };
  }

  /** Sends a call to a host, which reads it when it runs. */
  sendTo(host: DirectHost, caller: StreamCaller, isStanding: boolean): void {
    if (isStanding) this.#waitingCalls.push(() => caller.send(host));
    else caller.send(host);
  }

  protected override createHostClock(hostId: string): VirtualClock {
    const gate = new ProcessGate();
    this.#gates.set(hostId, gate);
    return new HostClock(this.clock, gate);
  }

  /** Peers have closed their links to a host that stood still. */
  #relink(id: string, peerIds: readonly string[]): void {
    peerIds.forEach((peerId) => this.hub.cut(id, peerId));
    this.clock.setTimer(RELINK_MS, () => this.hub.healAll());
  }

  #passCalls(): void {
    this.#waitingCalls.splice(0).forEach((send) => send());
  }
}

/** @returns whether the host's process does nothing meanwhile */
export function isStandingStill(way: OutOfStep): boolean {
  return STANDING.includes(way);
}
