/**
 * Implements the `ServerProbe` port with a TCP connection that is closed immediately.
 *
 * @module
 */
import { connect } from 'node:net';
import { Reachability, ServerProbe } from '../../ports/mod.js';

/** Connect timeout in milliseconds, the same as for requests. */
const CONNECT_TIMEOUT_MS = 400;

/** Opens a connection and closes it without sending any data. */
export class TcpServerProbe extends ServerProbe {
  override check(address: string): Promise<Reachability> {
    const [host, port] = address.split(':');
    return new Promise((resolve) => {
      const socket = connect({ host: host as string, port: Number(port) });
      const finish = (reachability: Reachability): void => {
        socket.destroy();
        resolve(reachability);
      };
      socket.setTimeout(CONNECT_TIMEOUT_MS, () => finish(Reachability.Unknown));
      socket.once('connect', () => finish(Reachability.Open));
      socket.once('error', ({ code }: NodeJS.ErrnoException) => {
        finish(code === 'ECONNREFUSED' ? Reachability.Refused : Reachability.Unknown);
      });
    });
  }
}
