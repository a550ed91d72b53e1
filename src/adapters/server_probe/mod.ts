/**
 * Checks with a TCP connection whether a process listens at an address:
 * `await new TcpServerProbe().check('10.0.0.1:80')`.
 *
 * @module
 */
export { TcpServerProbe } from './tcp_server_probe.js';
