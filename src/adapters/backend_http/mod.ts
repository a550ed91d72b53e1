/**
 * Calls to backend servers over Node's `http`: hands a body over only after
 * the backend server has answered 100, where its service honours that.
 * `new HttpBackendServerClient().dispatch(call)` gives the answer, head first.
 *
 * @module
 */
export { HttpBackendServerClient } from './http_backend_server_client.js';
export type { HttpBackendServerClientOptions } from './http_backend_server_client.js';
