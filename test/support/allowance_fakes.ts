/**
 * Fakes of the ports and views that allowance managers use. Callbacks of the test drive them.
 *
 * @module
 */
import { ConfigurationView, MembershipView } from '../../src/application/views/mod.js';
import type { ConfigurationStatus } from '../../src/application/views/mod.js';
import type { AccountContract } from '../../src/domain/contracts/types.js';
import type { EntryHostIdentity, EntryHostView } from '../../src/domain/membership/mod.js';
import { Clock, PeerNetwork } from '../../src/ports/mod.js';
import type {
  PeerMessage,
  PeerMessageHandler,
  PeerMessageType,
  Timer,
} from '../../src/ports/mod.js';

/** Handlers of one entry host, by message type. */
export type MessageHandlers = Map<
  PeerMessageType,
  (from: EntryHostIdentity, message: never) => void
>;

/** A configuration with one client account. */
export class FakeConfiguration extends ConfigurationView {
  constructor(readonly account: AccountContract) {
    super();
  }

  override findAccount(id: string): AccountContract | undefined {
    return id === this.account.accountId ? this.account : undefined;
  }

  override getStatus(): ConfigurationStatus {
    throw new Error('Cannot get status: this fake has none');
  }

  override listAccounts = (): readonly AccountContract[] => [this.account];

  override listServices = (): readonly [] => [];

  override findAccountByKeyHash = (): undefined => undefined;

  override findService = (): undefined => undefined;

  override findServiceByModel = (): undefined => undefined;

  override findBackendServer = (): undefined => undefined;

  override findEngineKind = (): undefined => undefined;

  override onChange = (): void => undefined;
}

/** Provides the hosts for {@link FakeMembership}. */
export interface MembershipSource {
  listEntryHosts(): readonly EntryHostView[];
  listListedIds(): readonly string[];
}

/** A membership view whose hosts a test provides. */
export class FakeMembership extends MembershipView {
  constructor(
    override readonly self: EntryHostIdentity,
    readonly source: MembershipSource,
  ) {
    super();
  }

  override listEntryHosts = (): readonly EntryHostView[] => this.source.listEntryHosts();

  override listKnownIds = (): readonly string[] => this.source.listListedIds();

  override findEntryHost = (id: string): EntryHostView | undefined =>
    this.listEntryHosts().find(({ identity }) => identity.id === id);

  override findIncarnation = (): undefined => undefined;

  override pickResponsible = (): EntryHostIdentity => this.self;

  override isBackendServerLeaving = (): boolean => false;

  override isFresh = (): boolean => true;

  override isStopping = (): boolean => false;

  override onChange = (): void => undefined;
}

/** A clock whose time and timers a test provides. */
export class CallbackClock extends Clock {
  constructor(
    override readonly nowMs: () => number,
    override readonly setTimer: (delayMs: number, callback: () => void) => Timer,
  ) {
    super();
  }

  override wallMs(): number {
    return this.nowMs();
  }
}

/** A peer network whose messages a test delivers. */
export class CallbackNetwork extends PeerNetwork {
  constructor(
    readonly handlers: MessageHandlers,
    override readonly send: (incarnation: string, message: PeerMessage) => boolean,
  ) {
    super();
  }

  override handle<T extends PeerMessageType>(type: T, handler: PeerMessageHandler<T>): void {
    this.handlers.set(type, handler);
  }

  override setPeerUrls = (): void => undefined;

  override onLinkChange = (): void => undefined;

  override listLinkedPeers = (): readonly EntryHostIdentity[] => [];

  override replaceLink = (): void => undefined;

  override dropLink = (): void => undefined;

  override close = (): Promise<void> => Promise.resolve();
}
