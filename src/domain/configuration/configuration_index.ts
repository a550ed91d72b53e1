/**
 * What is in force, arranged for quick finding.
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

/** Everything in force, by the names under which it is looked for. */
export interface ConfigurationIndex {
  readonly accounts: ReadonlyMap<string, AccountContract>;
  readonly accountsByKeyHash: ReadonlyMap<string, AccountContract>;
  readonly services: ReadonlyMap<string, Service>;
  readonly servicesByModel: ReadonlyMap<string, Service>;
  readonly backendServers: ReadonlyMap<string, BackendServer>;
  readonly engineKinds: ReadonlyMap<string, EngineKind>;
  /** Accounts one of whose API keys is claimed by another account, which has it. */
  readonly keyClashes: readonly string[];
}

const EMPTY_FLEET: Fleet = { services: [], engineKinds: [] };

/**
 * Builds the index of what is in force. It depends on the accepted entries
 * alone, so entry hosts with the same entries answer alike. An API key that two
 * accounts claim belongs to the one whose ID sorts first.
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
  const keyClashes: string[] = [];
  contracts.forEach((contract) => {
    contract.keyHashes.forEach((keyHash) => {
      if (accountsByKeyHash.has(keyHash)) keyClashes.push(contract.accountId);
      else accountsByKeyHash.set(keyHash, contract);
    });
  });
  return { accountsByKeyHash, keyClashes };
}
