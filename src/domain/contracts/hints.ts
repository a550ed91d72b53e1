/**
 * Hints about mismatches between a contract and the fleet. Hints are not faults:
 * each document is validated independently, so that the document of one team can't
 * make that of another invalid.
 *
 * @module
 */
import { ServiceKind } from './types.js';
import type { AccountContract, Fleet, WorkKind } from './types.js';

/**
 * Finds likely mistakes in the combination of a contract and a fleet.
 *
 * @param contract - the valid contract
 * @param fleet - the present or planned fleet
 * @returns one sentence for each hint
 */
export function findHints(contract: AccountContract, fleet: Fleet): readonly string[] {
  return contract.work.flatMap((work) => findWorkHints(work, fleet));
}

function findWorkHints(work: WorkKind, fleet: Fleet): readonly string[] {
  const name = `Work "${work.kind}"`;
  const service = fleet.services.find(({ id }) => id === work.serviceId);
  if (!service) return [`${name} names the service "${work.serviceId}", which the fleet lacks`];
  const hints: string[] = [];
  if (service.backendServers.length === 0) {
    hints.push(`${name} names the service "${work.serviceId}", which has no backend servers`);
  }
  const hasPatterns = work.methods.length > 0 || work.pathPrefixes.length > 0;
  if (service.kind === ServiceKind.Model && hasPatterns) {
    hints.push(`${name} names methods or paths, but "${work.serviceId}" serves models`);
  }
  if (!work.repeatable && !service.honoursContinue) {
    hints.push(
      `${name} is not repeatable and "${work.serviceId}" does not honour 100-continue: ` +
        'a failed call may be answered "may have run"',
    );
  }
  return hints;
}
