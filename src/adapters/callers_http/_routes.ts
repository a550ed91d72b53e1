/**
 * The routes of the callers' listener.
 *
 * @module
 */
import type { Route } from '../http_common/mod.js';
import { handleAssign } from './_assign_route.js';
import type { CallerHandler, CallerRoute } from './_caller_exchange.js';
import { handleCancel } from './_cancel_route.js';
import { handleChatCompletion } from './_chat_completion_route.js';
import { handleHealth } from './_health_route.js';
import { handleModels } from './_models_route.js';
import { handleRead } from './_read_route.js';
import { handleService } from './_service_route.js';

/** All routes of the callers' listener, most specific first. */
export const CALLER_ROUTES: readonly Route<CallerRoute>[] = [
  {
    name: 'health',
    method: 'GET',
    pattern: '/v1/health',
    handler: { needsKey: false, handle: handleHealth },
  },
  buildRoute('chat_completion', 'POST', '/v1/chat/completions', handleChatCompletion),
  buildRoute('models', 'GET', '/v1/models', handleModels),
  buildRoute('assign', 'POST', '/v1/requests', handleAssign),
  buildRoute('read', 'GET', '/v1/requests/:id', handleRead),
  buildRoute('cancel', 'DELETE', '/v1/requests/:id', handleCancel),
  buildRoute('service', undefined, '/v1/services/:service', handleService),
  buildRoute('service', undefined, '/v1/services/:service/*', handleService),
];

function buildRoute(
  name: string,
  method: string | undefined,
  pattern: string,
  handle: CallerHandler,
): Route<CallerRoute> {
  return { name, method, pattern, handler: { needsKey: true, handle } };
}
