/**
 * A stand-in for a client that sends one request on a new or a kept channel.
 *
 * @module
 */
import { request } from 'node:http';
import { performance } from 'node:perf_hooks';

/**
 * @param {object} call - address, agent (for kept channels), id, target, key and deadlineMs
 * @returns {Promise<object>} what the client saw: status 0 means that the channel ended without a
 *   whole answer; wasRead tells whether the whole request was written
 */
export function sendRequest({ address, agent, id, target, key, deadlineMs }) {
  const [host, port] = address.split(':');
  const body = 'x'.repeat(200);
  const seen = { id, address, sentAtMs: performance.now(), status: 0, body: '', error: '' };
  const headers = {
    Host: 'service.example',
    'Attempt-Id': id,
    'Deadline-Ms': String(deadlineMs),
    Authorization: `Bearer ${key}`,
    'Content-Length': String(body.length),
  };
  return new Promise((resolve) => {
    const finish = (status, error = '') =>
      resolve({ ...seen, status, error, endedAtMs: performance.now() });
    const options = { host, port, path: target, method: 'POST', headers, agent, setHost: false };
    const call = request(options, (response) => {
      seen.headStatus = response.statusCode;
      seen.seal = response.headers['response-seal'];
      response.on('data', (chunk) => {
        seen.body += chunk;
      });
      response.on('error', (error) => finish(0, error.code));
      response.on('end', () => finish(response.complete ? response.statusCode : 0));
    });
    call.on('error', (error) => finish(0, error.code ?? error.message));
    call.end(body);
  });
}
