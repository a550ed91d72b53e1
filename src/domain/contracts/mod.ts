/**
 * The documents that operators publish: one contract per client account and one
 * fleet document. Each is validated independently and parsed into typed values:
 * `const result = parseContract(text); if (result.valid) use(result.value)`.
 *
 * @module
 */
export { formatFault } from './document_fault.js';
export type { DocumentFault, DocumentResult } from './document_fault.js';
export * from './document_bounds.js';
export { DEFAULT_DEADLINE_MS, parseContract } from './contract.js';
export type { ParseContractOptions } from './contract.js';
export { parseFleet, PLAIN_ENGINE_KIND } from './fleet.js';
export { explainContract } from './explain.js';
export type { ExplanationRow } from './explain.js';
export { findHints } from './hints.js';
export { ServiceKind } from './types.js';
export type {
  AccountContract,
  AccountLimits,
  BackendServer,
  EngineKind,
  Fleet,
  Service,
  WorkKind,
} from './types.js';
