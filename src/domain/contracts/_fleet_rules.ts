/**
 * Checks of relations between the fields of a fleet document.
 *
 * @module
 */
import * as z from 'zod';
import { ServiceKind } from './types.js';
import { buildLenientListField, findDuplicates, lenientTextField } from './_fields.js';
import type { NamedPath } from './_fields.js';
import type { FieldFault } from './_document.js';

const lenientSchema = z
  .looseObject({
    services: buildLenientListField(
      z.looseObject({
        id: lenientTextField,
        kind: lenientTextField,
        models: buildLenientListField(z.string()),
        backendServers: buildLenientListField(
          z.looseObject({
            id: lenientTextField,
            url: lenientTextField,
            engineKind: lenientTextField,
          }),
        ),
      }),
    ),
    engineKinds: buildLenientListField(z.looseObject({ id: lenientTextField })),
  })
  .catch({ services: [], engineKinds: [] });

type LenientFleet = z.infer<typeof lenientSchema>;

/**
 * Checks what the schema of single fields can't express: duplicate names,
 * undeclared engine kinds, and models of plain services.
 *
 * @param raw - the parsed JSON, which may be malformed in any way
 * @returns the faults
 */
export function checkFleetRelations(raw: unknown): readonly FieldFault[] {
  const fleet = lenientSchema.parse(raw);
  return [...checkUniqueNames(fleet), ...checkModels(fleet), ...checkEngineKinds(fleet)];
}

function checkUniqueNames(fleet: LenientFleet): readonly FieldFault[] {
  const services = fleet.services.map((service, index): NamedPath => ({
    name: service?.id,
    path: ['services', index, 'id'],
  }));
  const kinds = fleet.engineKinds.map((kind, index): NamedPath => ({
    name: kind?.id,
    path: ['engineKinds', index, 'id'],
  }));
  const models = fleet.services.flatMap((service, index) =>
    (service?.models ?? []).map((name, position): NamedPath => ({
      name,
      path: ['services', index, 'models', position],
    })),
  );
  return [
    ...findDuplicates(services, 'is the ID of another service'),
    ...findDuplicates(kinds, 'is the ID of another engine kind'),
    ...findDuplicates(models, 'names a model that is already served'),
    ...findDuplicates(listBackendServerFields(fleet, 'id'), 'is the ID of another backend server'),
    // Two entries for the same backend server would give it two queues and twice its slots.
    ...findDuplicates(
      listBackendServerFields(fleet, 'url'),
      'is the URL of another backend server',
    ),
  ];
}

function listBackendServerFields(fleet: LenientFleet, field: 'id' | 'url'): readonly NamedPath[] {
  return fleet.services.flatMap((service, index) =>
    (service?.backendServers ?? []).map((server, position) => ({
      name: server?.[field]?.toLowerCase().replace(/\/$/, ''),
      path: ['services', index, 'backendServers', position, field],
    })),
  );
}

function checkModels(fleet: LenientFleet): readonly FieldFault[] {
  return fleet.services.flatMap((service, index) => {
    const path = ['services', index, 'models'];
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

function checkEngineKinds(fleet: LenientFleet): readonly FieldFault[] {
  const declaredKinds = new Set(fleet.engineKinds.map((kind) => kind?.id));
  return fleet.services.flatMap((service, index) =>
    (service?.backendServers ?? []).flatMap((server, position) => {
      const path = ['services', index, 'backendServers', position, 'engineKind'];
      if (server?.engineKind === undefined) {
        if (server === undefined || service?.kind !== ServiceKind.Model) return [];
        return [
          { path, message: 'is required: a backend server of a model service has an engine kind' },
        ];
      }
      if (declaredKinds.has(server.engineKind)) return [];
      return [
        { path, message: `names "${server.engineKind}", which engineKinds does not declare` },
      ];
    }),
  );
}
