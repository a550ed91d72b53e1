/**
 * Calls backend servers over Node's `http`. The body of a call is handed over only after the
 * backend server has sent 100 Continue, if its service supports that.
 * `new HttpBackendServerClient().dispatch(call)` resolves once the response head has arrived.
 *
 * @module
 */
export { HttpBackendServerClient } from './http_backend_server_client.js';
export type { HttpBackendServerClientOptions } from './http_backend_server_client.js';
