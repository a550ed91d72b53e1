/**
 * The fleet document: services, their backend servers and the engine kinds.
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
import type { DocumentResult } from './document_fault.js';
import { ServiceKind } from './types.js';
import type { BackendServer, EngineKind, Fleet, Service } from './types.js';
import { parseDocument } from './_document.js';
import { buildCountField, buildRateField, idField } from './_fields.js';
import { checkFleetRules } from './_fleet_rules.js';

/**
 * Engine kind of a plain service's backend server that names none. Its figures
 * are only where learning starts from.
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
    .refine(isBaseUrl, 'must be http://, an IP number and a port, without a path'),
  engineKind: idField.optional(),
  availabilityZone: idField,
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
 * Checks a fleet document, alone, and derives what follows from it.
 *
 * Left out, `honoursContinue` and `checksOrders` are false (the careful
 * choice), `dispatchGroupSize` is {@link DEFAULT_DISPATCH_GROUP_SIZE}, and the
 * engine kind of a plain service's backend server is {@link PLAIN_ENGINE_KIND}.
 *
 * @param published - the text, or its bytes as they were published
 * @returns the fleet, or all faults of the document
 */
export function parseFleet(published: Uint8Array | string): DocumentResult<Fleet> {
  const result = parseDocument(published, { schema: fleetSchema, checkRules: checkFleetRules });
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
  };
}

function isBaseUrl(text: string): boolean {
  const match = /^http:\/\/(?:\[([0-9a-f:.]+)\]|([0-9.]+))(?::\d{1,5})?\/?$/i.exec(text);
  const host = match?.[1] ?? match?.[2];
  return z.union([z.ipv4(), z.ipv6()]).safeParse(host).success && URL.canParse(text);
}
