/**
 * Kinds of faults of a soak run.
 *
 * @module
 */

/**
 * Kinds of faults. A fault of a link, of the store's behavior or of a replica's responses, and a
 * pause of a host, last for a planned time, as does the silence of a replica; the others are instantaneous events.
 */
export enum FaultKind {
  HostKilled = 'host-killed',
  HostPaused = 'host-paused',
  HostStopped = 'host-stopped',
  HostReloaded = 'host-reloaded',
  AllKilled = 'all-killed',
  PeerLinkCut = 'peer-link-cut',
  PeerLinkSilent = 'peer-link-silent',
  PeerLinkOneWay = 'peer-link-one-way',
  PeerLinkDelayed = 'peer-link-delayed',
  OldPeerLinksSilent = 'old-peer-links-silent',
  StoreLinkCut = 'store-link-cut',
  StoreLinkSilent = 'store-link-silent',
  StoreBusy = 'store-busy',
  StoreSilent = 'store-silent',
  StoreReset = 'store-reset',
  StoreNonsense = 'store-nonsense',
  StoreForgets = 'store-forgets',
  StoreRestored = 'store-restored',
  ReplicaCrashed = 'replica-crashed',
  ReplicaMute = 'replica-mute',
  ReplicaRefuses = 'replica-refuses',
  ReplicaLosesAnswers = 'replica-loses-answers',
  ReplicaDrained = 'replica-drained',
  RefusalsLimited = 'replica-refusals-limited',
  ReplicaPauses = 'replica-pauses',
  ReplicaSaysLeaving = 'replica-says-leaving',
  ReplicaUnmarked = 'replica-unmarked',
  ReplicaLinkSilent = 'replica-link-silent',
  ReplicaLinkDelayed = 'replica-link-delayed',
  RouteAdded = 'route-added',
  KeyRevoked = 'key-revoked',
  VersionReleased = 'version-released',
  KeyReplaced = 'key-replaced',
  ReplicaSilent = 'replica-silent',
  ZoneSilent = 'zone-silent',
  AllSilent = 'all-replicas-silent',
}

/** One fault of a plan. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Start of the fault, in milliseconds after the run's start. */
  readonly atMs: number;
  /** Duration in milliseconds of a fault that lasts; ignored for instantaneous faults. */
  readonly forMs: number;
  /** Index of the affected host or replica, taken modulo their number; else unused. */
  readonly index: number;
}
