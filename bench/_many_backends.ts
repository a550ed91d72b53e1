/**
 * A fleet document with more backend servers than there are processes.
 *
 * @module
 */
import { ENGINE_KINDS } from '../test/fleet/mod.js';
import type { BackendServerDocument, Fleet } from '../test/fleet/mod.js';

/**
 * Publishes many backend servers that share the fleet's engines.
 *
 * @param fleet - a running fleet
 * @param count - how many backend servers the model service is to have
 */
export async function publishManyBackends(fleet: Fleet, count: number): Promise<void> {
  const { shape, dispatchGroupSize } = fleet.parts.options;
  const engines = fleet.parts.engines.map(({ url }) => url);
  const zones = shape.availabilityZones;
  const backendServers = Array.from({ length: count }, (_, index): BackendServerDocument => ({
    id: `engine-${index + 1}`,
    url: engines[index % engines.length] as string,
    engineKind: ENGINE_KINDS[index % ENGINE_KINDS.length]?.id,
    availabilityZone: zones[index % zones.length] as string,
  }));
  const common = { checksOrders: true, honoursContinue: true, dispatchGroupSize };
  await fleet.configuration.operator.publishFleet({
    services: [
      { ...common, id: shape.modelService, kind: 'model', models: [shape.model], backendServers },
      {
        ...common,
        id: shape.plainService,
        kind: 'plain',
        models: [],
        backendServers: fleet.parts.plainServers.map(({ id, url, listed }) => ({
          id,
          url,
          availabilityZone: listed.availabilityZone,
        })),
      },
    ],
    engineKinds: ENGINE_KINDS,
  });
}
