/**
 * Calls through entry hosts, as the benches make them.
 *
 * @module
 */
import type http from 'node:http';
import type { ClientAccount, EntryHost, Fleet } from '../test/fleet/mod.js';
import { sendGood } from './_call.js';
import type { TimedAnswer } from './_call.js';

/** Who calls. */
export interface CallerSettings {
  readonly account: ClientAccount;
  readonly agent: http.Agent;
}

/** A plain call. */
export interface PlainCall {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly requestId?: string;
  readonly body?: string;
}

/**
 * @param fleet - a running fleet
 * @returns its first account
 */
export function pickAccount(fleet: Fleet): ClientAccount {
  return fleet.accounts[0] as ClientAccount;
}

/**
 * Asks for an ID.
 *
 * @param host - whom to ask, who becomes the owner
 * @param caller - who asks
 * @returns the ID
 */
export async function acquireRequestId(host: EntryHost, caller: CallerSettings): Promise<string> {
  const answer = await sendGood({
    url: `${host.url}/v1/requests`,
    method: 'POST',
    headers: { authorization: `Bearer ${caller.account.apiKey}` },
    agent: caller.agent,
  });
  return (JSON.parse(answer.text) as { id: string }).id;
}

/**
 * Sends a plain call through an entry host.
 *
 * @param host - which entry host
 * @param call - what to send
 * @param caller - who sends
 * @returns its timed answer
 */
export function sendPlain(
  host: EntryHost,
  call: PlainCall,
  caller: CallerSettings,
): Promise<TimedAnswer> {
  return sendGood({
    url: `${host.url}/v1/services/${call.service}${call.path}`,
    method: call.method,
    headers: {
      authorization: `Bearer ${caller.account.apiKey}`,
      ...(call.requestId === undefined ? {} : { 'request-id': call.requestId }),
      ...(call.body === undefined ? {} : { 'content-type': 'application/json' }),
    },
    body: call.body,
    agent: caller.agent,
  });
}
