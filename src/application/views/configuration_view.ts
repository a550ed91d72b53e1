/**
 * The configuration in force.
 *
 * @module
 */
import type {
  AccountContract,
  BackendServer,
  EngineKind,
  Service,
} from '../../domain/contracts/types.js';

/** A published document that was refused whole. */
export interface RejectedDocument {
  readonly key: string;
  readonly revision: number;
  readonly reasons: readonly string[];
}

/** What operators see of the configuration. */
export interface ConfigurationStatus {
  /** Highest accepted revision. */
  readonly revision: number;
  /** Hash over all accepted entries, in lower-case hex. */
  readonly hash: string;
  /** Index of the platform's last answer; lower than `revision` when it is stale. */
  readonly platformIndex: number;
  /** Time since the platform last answered, in milliseconds; undefined before the first. */
  readonly platformSilentMs: number | undefined;
  readonly accountCount: number;
  readonly rejected: readonly RejectedDocument[];
}

/** Reads the configuration in force. */
export abstract class ConfigurationView {
  /** @returns what operators see */
  abstract getStatus(): ConfigurationStatus;

  /** @param keyHash - SHA-256 of an API key, lower-case hex. @returns whose key it is */
  abstract findAccountByKeyHash(keyHash: string): AccountContract | undefined;

  /** @param accountId - which account. @returns what follows from its contract */
  abstract findAccount(accountId: string): AccountContract | undefined;

  /** @returns every account in force */
  abstract listAccounts(): readonly AccountContract[];

  /** @returns every service of the fleet */
  abstract listServices(): readonly Service[];

  /** @param serviceId - which service. @returns the service */
  abstract findService(serviceId: string): Service | undefined;

  /** @param model - a model's name. @returns the service that serves it */
  abstract findServiceByModel(model: string): Service | undefined;

  /** @param backendServerId - which backend server. @returns the backend server */
  abstract findBackendServer(backendServerId: string): BackendServer | undefined;

  /** @param engineKindId - which kind. @returns the kind's starting figures */
  abstract findEngineKind(engineKindId: string): EngineKind | undefined;

  /** @param handler - called after each change that came into force */
  abstract onChange(handler: () => void): void;
}
