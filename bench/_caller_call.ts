/**
 * Sends calls through entry hosts on behalf of the benches.
 *
 * @module
 */
import type http from 'node:http';
import type { ClientAccount, EntryHost, Fleet } from '../test/fleet/mod.js';
import { sendExpectingOk } from './_call.js';
import type { TimedResponse } from './_call.js';

/** The client account and HTTP agent that calls are sent with. */
export interface CallerContext {
  readonly account: ClientAccount;
  readonly agent: http.Agent;
}

/** A call to a plain service. */
export interface PlainCall {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** ID to send with the call. Default: none. */
  readonly requestId?: string;
  readonly body?: string;
}

/**
 * Returns the client account that benches call with.
 *
 * @param fleet - a running fleet
 * @returns its first account
 */
export function pickAccount(fleet: Fleet): ClientAccount {
  return fleet.accounts[0] as ClientAccount;
}

/**
 * Obtains a request ID.
 *
 * @param host - the entry host that issues the ID and becomes its owner
 * @param caller - the account and agent to use
 * @returns the ID
 */
export async function acquireRequestId(host: EntryHost, caller: CallerContext): Promise<string> {
  const response = await sendExpectingOk({
    url: `${host.url}/v1/requests`,
    method: 'POST',
    headers: { authorization: `Bearer ${caller.account.apiKey}` },
    agent: caller.agent,
  });
  return (JSON.parse(response.text) as { id: string }).id;
}

/**
 * Sends a plain call through an entry host.
 *
 * @param host - the entry host to call
 * @param call - the call to send
 * @param caller - the account and agent to use
 * @returns the timed response
 */
export function sendPlain(
  host: EntryHost,
  call: PlainCall,
  caller: CallerContext,
): Promise<TimedResponse> {
  return sendExpectingOk({
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
