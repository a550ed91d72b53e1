/**
 * Look-up of the routes, services and client accounts of calls that carry a request ID:
 * `new RouteTable(document).findRoute('api.example', '/surveys/1')`.
 *
 * @module
 */
export { computeRank, pickService, RouteTable } from './route_table.js';
export { hasMovedStreams } from './stream_routes.js';
export { LimitUnit } from './types.js';
export type {
  AccountLimit,
  CallerLimits,
  ClientAccount,
  Route,
  RoutingDocument,
  ServiceInfo,
  ServiceWarmup,
  WeightedService,
} from './types.js';
