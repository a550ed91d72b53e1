/**
 * Read access to the configuration in effect.
 *
 * @module
 */
import type {
  AccountContract,
  BackendServer,
  EngineKind,
  Service,
} from '../../domain/contracts/types.js';

/** A published document that was rejected as a whole. */
export interface RejectedDocument {
  readonly key: string;
  readonly revision: number;
  /** Why it was rejected. */
  readonly reasons: readonly string[];
}

/** Status of the configuration for operators. */
export interface ConfigurationStatus {
  /** Highest accepted revision. */
  readonly revision: number;
  /** Hash over all accepted entries, in lower-case hex. */
  readonly hash: string;
  /** Index of the platform's last response; lower than `revision` if that response is stale. */
  readonly platformIndex: number;
  /** Time since the platform last responded, in milliseconds; undefined before the first time. */
  readonly platformSilentMs: number | undefined;
  readonly accountCount: number;
  readonly rejected: readonly RejectedDocument[];
}

/** Reads the configuration in effect. */
export abstract class ConfigurationView {
  /** @returns the status for operators */
  abstract getStatus(): ConfigurationStatus;

  /** @param keyHash - SHA-256 of an API key, lower-case hex. @returns the account that owns it */
  abstract findAccountByKeyHash(keyHash: string): AccountContract | undefined;

  /** @param accountId - an account's ID. @returns the account's contract */
  abstract findAccount(accountId: string): AccountContract | undefined;

  /** @returns all accounts in effect */
  abstract listAccounts(): readonly AccountContract[];

  /** @returns all services of the fleet */
  abstract listServices(): readonly Service[];

  /** @param serviceId - a service's ID. @returns the service */
  abstract findService(serviceId: string): Service | undefined;

  /** @param model - a model's name. @returns the service that serves it */
  abstract findServiceByModel(model: string): Service | undefined;

  /** @param backendServerId - a backend server's ID. @returns the backend server */
  abstract findBackendServer(backendServerId: string): BackendServer | undefined;

  /** @param engineKindId - an engine kind's ID. @returns the kind with its nominal speed */
  abstract findEngineKind(engineKindId: string): EngineKind | undefined;

  /** @param handler - called after each change that has taken effect */
  abstract onChange(handler: () => void): void;
}
