/**
 * Checks between the fields of a fleet document.
 *
 * @module
 */
import * as z from 'zod';
import { ServiceKind } from './types.js';
import { buildLenientList, findRepeated, lenientText } from './_fields.js';
import type { NamedPath } from './_fields.js';
import type { RuleFault } from './_document.js';

const lenientSchema = z
  .looseObject({
    services: buildLenientList(
      z.looseObject({
        id: lenientText,
        kind: lenientText,
        models: buildLenientList(z.string()),
        backendServers: buildLenientList(
          z.looseObject({ id: lenientText, url: lenientText, engineKind: lenientText }),
        ),
      }),
    ),
    engineKinds: buildLenientList(z.looseObject({ id: lenientText })),
  })
  .catch({ services: [], engineKinds: [] });

type LenientFleet = z.infer<typeof lenientSchema>;

/**
 * Checks what a schema of single fields can't: names that stand twice, engine
 * kinds that nobody declares, models of plain services.
 *
 * @param raw - the document, which may be faulty in any way
 * @returns the faults
 */
export function checkFleetRules(raw: unknown): readonly RuleFault[] {
  const fleet = lenientSchema.parse(raw);
  return [...checkNames(fleet), ...checkModels(fleet), ...checkEngineKinds(fleet)];
}

function checkNames(fleet: LenientFleet): readonly RuleFault[] {
  const services = fleet.services.map((service, at): NamedPath => ({
    name: service?.id,
    path: ['services', at, 'id'],
  }));
  const kinds = fleet.engineKinds.map((kind, at): NamedPath => ({
    name: kind?.id,
    path: ['engineKinds', at, 'id'],
  }));
  const models = fleet.services.flatMap((service, at) =>
    (service?.models ?? []).map((name, position): NamedPath => ({
      name,
      path: ['services', at, 'models', position],
    })),
  );
  return [
    ...findRepeated(services, 'names a service that is there already'),
    ...findRepeated(kinds, 'names an engine kind that is there already'),
    ...findRepeated(models, 'names a model that is served already'),
    ...findRepeated(listBackendFields(fleet, 'id'), 'names a backend server that is there already'),
    // Two entries for one backend server would give it two queues and twice its slots.
    ...findRepeated(listBackendFields(fleet, 'url'), 'is the URL of another backend server'),
  ];
}

function listBackendFields(fleet: LenientFleet, field: 'id' | 'url'): readonly NamedPath[] {
  return fleet.services.flatMap((service, at) =>
    (service?.backendServers ?? []).map((server, position) => ({
      name: server?.[field]?.toLowerCase().replace(/\/$/, ''),
      path: ['services', at, 'backendServers', position, field],
    })),
  );
}

function checkModels(fleet: LenientFleet): readonly RuleFault[] {
  return fleet.services.flatMap((service, at) => {
    const path = ['services', at, 'models'];
    const count = service?.models.length ?? 0;
    if (service?.kind === ServiceKind.Model && count === 0) {
      return [{ path, message: 'must name at least one model' }];
    }
    if (service?.kind === ServiceKind.Plain && count > 0) {
      return [{ path, message: 'must be empty: a plain service has no models' }];
    }
    return [];
  });
}

function checkEngineKinds(fleet: LenientFleet): readonly RuleFault[] {
  const declared = new Set(fleet.engineKinds.map((kind) => kind?.id));
  return fleet.services.flatMap((service, at) =>
    (service?.backendServers ?? []).flatMap((server, position) => {
      const path = ['services', at, 'backendServers', position, 'engineKind'];
      if (server?.engineKind === undefined) {
        if (server === undefined || service?.kind !== ServiceKind.Model) return [];
        return [{ path, message: 'is required: the backend server of a model has an engine kind' }];
      }
      if (declared.has(server.engineKind)) return [];
      return [{ path, message: `names "${server.engineKind}", which engineKinds lacks` }];
    }),
  );
}
