/**
 * Look-up maps over the configuration that is in effect.
 *
 * @module
 */
import type {
  AccountContract,
  BackendServer,
  EngineKind,
  Fleet,
  Service,
} from '../contracts/mod.js';
import type { ConfigurationState } from './configuration_state.js';
import { FLEET_KEY } from './document_key.js';

/** The configuration that is in effect, indexed by the keys of its look-ups. */
export interface ConfigurationIndex {
  /** Contracts by account ID. */
  readonly accounts: ReadonlyMap<string, AccountContract>;
  /** Contracts by the SHA-256 of each of the account's API keys. */
  readonly accountsByKeyHash: ReadonlyMap<string, AccountContract>;
  readonly services: ReadonlyMap<string, Service>;
  readonly servicesByModel: ReadonlyMap<string, Service>;
  readonly backendServers: ReadonlyMap<string, BackendServer>;
  readonly engineKinds: ReadonlyMap<string, EngineKind>;
  /** IDs of accounts that list an API key which belongs to another account; one per such key. */
  readonly keyClashes: readonly string[];
}

const EMPTY_FLEET: Fleet = { services: [], engineKinds: [] };

/**
 * Builds the index from the accepted entries alone, so that entry hosts with the
 * same entries make the same decisions. An API key that two accounts list
 * belongs to the account whose ID sorts first.
 *
 * @param state - the accepted entries
 * @returns the index
 */
export function buildIndex(state: ConfigurationState): ConfigurationIndex {
  const contracts = [...state.entries.values()]
    .flatMap(({ contract }) => (contract ? [contract] : []))
    .sort((a, b) => (a.accountId < b.accountId ? -1 : 1));
  const fleet = state.entries.get(FLEET_KEY)?.fleet ?? EMPTY_FLEET;
  const backendServers = fleet.services.flatMap((service) => service.backendServers);
  return {
    accounts: new Map(contracts.map((contract) => [contract.accountId, contract])),
    ...buildKeyIndex(contracts),
    services: new Map(fleet.services.map((service) => [service.id, service])),
    servicesByModel: new Map(
      fleet.services.flatMap((service) => service.models.map((model) => [model, service])),
    ),
    backendServers: new Map(backendServers.map((server) => [server.id, server])),
    engineKinds: new Map(fleet.engineKinds.map((kind) => [kind.id, kind])),
  };
}

function buildKeyIndex(
  contracts: readonly AccountContract[],
): Pick<ConfigurationIndex, 'accountsByKeyHash' | 'keyClashes'> {
  const accountsByKeyHash = new Map<string, AccountContract>();
  const conflictingAccountIds: string[] = [];
  contracts.forEach((contract) => {
    contract.keyHashes.forEach((keyHash) => {
      if (accountsByKeyHash.has(keyHash)) conflictingAccountIds.push(contract.accountId);
      else accountsByKeyHash.set(keyHash, contract);
    });
  });
  return { accountsByKeyHash, keyClashes: conflictingAccountIds };
}
