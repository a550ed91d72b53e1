/**
 * Injects each kind of fault and reverts it.
 *
 * @module
 */
import { LinkFault } from '../test/fleet/mod.js';
import type { CutProxy } from '../test/fleet/mod.js';
import { StoreFault } from '../platform/test/store.js';
import { FaultKind } from './plan.js';
import type { PlannedFault } from './plan.js';
import type { SoakFleet, SoakHost, SoakReplica } from './soak_fleet.js';

/** Time for which a replica without room wants no requests, in milliseconds. */
const REPLICA_PAUSE_MS = 3_000;

/** Reverts a fault; undefined if the fault is instantaneous. */
type Revert = (() => void) | undefined;

/** Injects one kind of fault into the host or replica with an index. */
type InjectFault = (fleet: SoakFleet, index: number) => Revert;

function getHost(fleet: SoakFleet, index: number): SoakHost {
  return fleet.hosts[index % fleet.hosts.length] as SoakHost;
}

function getReplica(fleet: SoakFleet, index: number): SoakReplica {
  return fleet.replicas[index % fleet.replicas.length] as SoakReplica;
}

/**
 * Sets the fault of a link. If faults of one link overlap, the latest replaces the earlier, and the
 * first to end clears the link.
 */
function setLinkFault(proxy: CutProxy, fault: LinkFault): Revert {
  proxy.setFault(fault);
  return () => proxy.setFault(LinkFault.None);
}

function setStoreFault(fleet: SoakFleet, fault: StoreFault): Revert {
  const { store } = fleet.fleet;
  store.fault = fault;
  return () => {
    store.fault = StoreFault.None;
  };
}

/** Takes the store away; when it returns, it has come back from a copy. */
function restoreStore(fleet: SoakFleet): Revert {
  const end = setStoreFault(fleet, StoreFault.Reset);
  return () => {
    fleet.restoreStore();
    end?.();
  };
}

function pauseHost(host: SoakHost): Revert {
  const { process } = host.entry;
  process.kill('SIGSTOP');
  return () => process.kill('SIGCONT');
}

function setReplicaFault(
  { replica }: SoakReplica,
  changes: Partial<
    Pick<SoakReplica['replica'], 'isMute' | 'isUnmarked' | 'losesAnswers' | 'refuseWith'>
  >,
): Revert {
  Object.assign(replica, changes);
  return () => {
    Object.assign(replica, {
      isMute: false,
      isUnmarked: false,
      losesAnswers: false,
      refuseWith: undefined,
    });
  };
}

/** Has replicas fall silent; each goes on at the end, also if it has been replaced meanwhile. */
function silenceReplicas(slots: readonly SoakReplica[]): Revert {
  const silences = slots.map(({ replica }) => replica.silence);
  silences.forEach((silence) => silence.start());
  return () => silences.forEach((silence) => silence.end());
}

function silenceZone(fleet: SoakFleet, index: number): Revert {
  const { zone } = getReplica(fleet, index);
  return silenceReplicas(fleet.replicas.filter((slot) => slot.zone === zone));
}

/** Has a replica turn requests away for a planned time, and say for how long. */
function pauseReplica(fleet: SoakFleet, index: number): Revert {
  const { replica } = getReplica(fleet, index);
  replica.pause(REPLICA_PAUSE_MS);
  return () => undefined;
}

/** Wraps an instantaneous fault, which needs no reverting. */
function runOnce(run: (fleet: SoakFleet, index: number) => void): InjectFault {
  return (fleet, index) => {
    run(fleet, index);
    return undefined;
  };
}

/** Injector of each kind of fault. */
const FAULT_INJECTORS: Readonly<Record<FaultKind, InjectFault>> = {
  [FaultKind.HostKilled]: runOnce((fleet, index) =>
    fleet.endHost(getHost(fleet, index), 'SIGKILL'),
  ),
  [FaultKind.HostPaused]: (fleet, index) => pauseHost(getHost(fleet, index)),
  [FaultKind.HostStopped]: runOnce((fleet, index) =>
    fleet.endHost(getHost(fleet, index), 'SIGTERM'),
  ),
  [FaultKind.HostReloaded]: runOnce((fleet, index) =>
    getHost(fleet, index).entry.process.kill('SIGHUP'),
  ),
  [FaultKind.AllKilled]: runOnce((fleet) =>
    fleet.hosts.forEach((host) => fleet.endHost(host, 'SIGKILL')),
  ),
  [FaultKind.PeerLinkCut]: (fleet, index) =>
    setLinkFault(getHost(fleet, index).peerProxy, LinkFault.Cut),
  [FaultKind.PeerLinkSilent]: (fleet, index) =>
    setLinkFault(getHost(fleet, index).peerProxy, LinkFault.Silent),
  [FaultKind.PeerLinkOneWay]: (fleet, index) =>
    setLinkFault(getHost(fleet, index).peerProxy, LinkFault.HalfOpen),
  [FaultKind.PeerLinkDelayed]: (fleet, index) =>
    setLinkFault(getHost(fleet, index).peerProxy, LinkFault.Held),
  [FaultKind.OldPeerLinksSilent]: (fleet, index) =>
    setLinkFault(getHost(fleet, index).peerProxy, LinkFault.SilentOld),
  [FaultKind.StoreLinkCut]: (fleet, index) =>
    setLinkFault(getHost(fleet, index).storeProxy, LinkFault.Cut),
  [FaultKind.StoreLinkSilent]: (fleet, index) =>
    setLinkFault(getHost(fleet, index).storeProxy, LinkFault.Silent),
  [FaultKind.StoreBusy]: (fleet) => setStoreFault(fleet, StoreFault.Busy),
  [FaultKind.StoreSilent]: (fleet) => setStoreFault(fleet, StoreFault.Silent),
  [FaultKind.StoreReset]: (fleet) => setStoreFault(fleet, StoreFault.Reset),
  [FaultKind.StoreNonsense]: (fleet) => setStoreFault(fleet, StoreFault.InvalidJson),
  [FaultKind.StoreForgets]: runOnce((fleet) => fleet.fleet.store.compact()),
  [FaultKind.StoreRestored]: restoreStore,
  [FaultKind.ReplicaCrashed]: runOnce((fleet, index) => fleet.endReplica(index, false)),
  [FaultKind.ReplicaMute]: (fleet, index) =>
    setReplicaFault(getReplica(fleet, index), { isMute: true }),
  [FaultKind.ReplicaRefuses]: (fleet, index) =>
    setReplicaFault(getReplica(fleet, index), { refuseWith: 503 }),
  [FaultKind.ReplicaLosesAnswers]: (fleet, index) =>
    setReplicaFault(getReplica(fleet, index), { losesAnswers: true }),
  [FaultKind.ReplicaDrained]: runOnce((fleet, index) => fleet.endReplica(index, true)),
  [FaultKind.RefusalsLimited]: (fleet) => fleet.refusalLimit.start(),
  [FaultKind.ReplicaPauses]: pauseReplica,
  [FaultKind.ReplicaSaysLeaving]: runOnce((fleet, index) => fleet.leaveInAnswers(index)),
  [FaultKind.VersionReleased]: runOnce((fleet, index) => fleet.release.start(fleet, index)),
  [FaultKind.ReplicaUnmarked]: (fleet, index) =>
    setReplicaFault(getReplica(fleet, index), { isUnmarked: true }),
  [FaultKind.ReplicaLinkSilent]: (fleet, index) =>
    setLinkFault(getReplica(fleet, index).proxy, LinkFault.Silent),
  [FaultKind.ReplicaLinkDelayed]: (fleet, index) =>
    setLinkFault(getReplica(fleet, index).proxy, LinkFault.Held),
  [FaultKind.RouteAdded]: runOnce((fleet) => fleet.configuration.addRoute()),
  [FaultKind.KeyRevoked]: runOnce((fleet) => fleet.configuration.revokeKey()),
  [FaultKind.KeyReplaced]: runOnce((fleet) =>
    fleet.configuration.replaceKey((delayMs, run) => fleet.schedule(delayMs, run)),
  ),
  [FaultKind.ReplicaSilent]: (fleet, index) => silenceReplicas([getReplica(fleet, index)]),
  [FaultKind.ZoneSilent]: silenceZone,
  [FaultKind.AllSilent]: (fleet) => silenceReplicas(fleet.replicas),
};

/**
 * Injects a fault and schedules its end.
 *
 * @param fleet - the fleet to inject into
 * @param fault - the fault
 * @returns true if the fault lasts for its planned duration, false if it is instantaneous
 */
export function injectFault(fleet: SoakFleet, { kind, index, forMs }: PlannedFault): boolean {
  const revert = FAULT_INJECTORS[kind](fleet, index);
  if (revert) fleet.schedule(forMs, revert);
  return revert !== undefined;
}
