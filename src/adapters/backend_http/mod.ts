/**
 * Calls to backend servers over Node's `http`: hands a body over only after
 * the backend server has proved that the connection lives.
 * `new HttpBackendServerClient().dispatch(call)` gives the answer, head first.
 *
 * @module
 */
export { HttpBackendServerClient } from './http_backend_server_client.js';
export type { HttpBackendServerClientOptions } from './http_backend_server_client.js';
