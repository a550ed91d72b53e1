/**
 * Schema and validation of the fleet document: services, their backend servers
 * and the engine kinds.
 *
 * @module
 */
import * as z from 'zod';
import {
  DEFAULT_DISPATCH_GROUP_SIZE,
  MAX_BACKEND_SERVERS,
  MAX_DISPATCH_GROUP_SIZE,
  MAX_ENGINE_KINDS,
  MAX_MODELS,
  MAX_MODEL_LENGTH,
  MAX_SERVICES,
  MAX_SLOTS,
  MAX_TOKENS_PER_SECOND,
  MAX_URL_LENGTH,
} from './document_bounds.js';
import { parseSoftwareVersion } from '../streams/mod.js';
import type { DocumentResult } from './document_fault.js';
import { ServiceKind } from './types.js';
import type { BackendServer, EngineKind, Fleet, Service } from './types.js';
import { parseDocument } from './_document.js';
import { buildCountField, buildRateField, idField } from './_fields.js';
import { checkFleetRelations } from './_fleet_rules.js';

/**
 * Default engine kind for backend servers of plain services. Its speeds and slots
 * are only initial estimates, which are replaced by measured values.
 */
export const PLAIN_ENGINE_KIND: EngineKind = {
  id: 'plain',
  prefillTokensPerSecond: 1_000_000,
  decodeTokensPerSecond: 10_000,
  slots: 32,
};

const backendServerSchema = z.strictObject({
  id: idField,
  url: z
    .string()
    .max(MAX_URL_LENGTH)
    .refine(isBaseUrl, 'must be http://, an IP address and a port, without a path'),
  engineKind: idField.optional(),
  availabilityZone: idField,
  softwareVersion: z.string().optional(),
});

const serviceSchema = z.strictObject({
  id: idField,
  kind: z.enum(ServiceKind),
  models: z.array(z.string().min(1).max(MAX_MODEL_LENGTH)).max(MAX_MODELS).default([]),
  honoursContinue: z.boolean().default(false),
  checksOrders: z.boolean().default(false),
  dispatchGroupSize: buildCountField(MAX_DISPATCH_GROUP_SIZE).default(DEFAULT_DISPATCH_GROUP_SIZE),
  backendServers: z.array(backendServerSchema).max(MAX_BACKEND_SERVERS),
});

const engineKindSchema = z.strictObject({
  id: idField,
  prefillTokensPerSecond: buildRateField(MAX_TOKENS_PER_SECOND),
  decodeTokensPerSecond: buildRateField(MAX_TOKENS_PER_SECOND),
  slots: buildCountField(MAX_SLOTS),
});

const fleetSchema = z.strictObject({
  services: z.array(serviceSchema).max(MAX_SERVICES),
  engineKinds: z.array(engineKindSchema).max(MAX_ENGINE_KINDS).default([]),
});

type ServiceDocument = z.infer<typeof serviceSchema>;

/**
 * Validates a fleet document independently of all contracts, and fills in defaults.
 *
 * The defaults of `honoursContinue` and `checksOrders` are false, the safe
 * choice; that of `dispatchGroupSize` is {@link DEFAULT_DISPATCH_GROUP_SIZE}. A
 * backend server of a plain service has {@link PLAIN_ENGINE_KIND} by default.
 *
 * @param document - the published text, or its UTF-8 bytes
 * @returns the fleet, or all faults of the document
 */
export function parseFleet(document: Uint8Array | string): DocumentResult<Fleet> {
  const result = parseDocument(document, {
    schema: fleetSchema,
    checkFieldRelations: checkFleetRelations,
  });
  if (!result.valid) return result;
  const { services, engineKinds } = result.value;
  return {
    valid: true,
    value: {
      services: services.map(deriveService),
      engineKinds: engineKinds.some((kind) => kind.id === PLAIN_ENGINE_KIND.id)
        ? engineKinds
        : [...engineKinds, PLAIN_ENGINE_KIND],
    },
  };
}

function deriveService(service: ServiceDocument): Service {
  return {
    ...service,
    backendServers: service.backendServers.map((server) => deriveBackendServer(service.id, server)),
  };
}

function deriveBackendServer(
  serviceId: string,
  server: ServiceDocument['backendServers'][number],
): BackendServer {
  return {
    id: server.id,
    serviceId,
    url: new URL(server.url).origin,
    engineKind: server.engineKind ?? PLAIN_ENGINE_KIND.id,
    availabilityZone: server.availabilityZone,
    softwareVersion: parseSoftwareVersion(server.softwareVersion),
  };
}

function isBaseUrl(text: string): boolean {
  const match = /^http:\/\/(?:\[([0-9a-f:.]+)\]|([0-9.]+))(?::\d{1,5})?\/?$/i.exec(text);
  const host = match?.[1] ?? match?.[2];
  return z.union([z.ipv4(), z.ipv6()]).safeParse(host).success && URL.canParse(text);
}
