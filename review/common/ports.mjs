/**
 * Finds free ports on the loopback interface.
 *
 * @module
 */
import { createServer } from 'node:net';

function openServer() {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => resolve(server));
  });
}

function closeServer(server) {
  return new Promise((resolve) => {
    server.close(resolve);
  });
}

/**
 * @param {number} count - number of ports
 * @returns {Promise<number[]>} ports that were free a moment ago, all different
 */
export async function findFreePorts(count) {
  const servers = await Promise.all(Array.from({ length: count }, openServer));
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map(closeServer));
  return ports;
}
