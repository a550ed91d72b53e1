import t from 'tap';
import { FakeConfiguration } from '../../../test/support/fake_views.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { ServiceKind } from '../../domain/contracts/types.js';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { RequestId } from '../../domain/requests/mod.js';
import { parseSoftwareVersion } from '../../domain/streams/mod.js';
import type { BackendAnswer, BackendServerClient } from '../../ports/mod.js';
import { relayWithFailover } from './_stream_failover.js';

async function* readText(text: string): AsyncGenerator<Uint8Array> {
  yield Buffer.from(text);
}

/** The owner's part of an answer, behind which the owner is lost. */
async function* readUntilLost(): AsyncGenerator<Uint8Array> {
  yield Buffer.from('one ');
  throw new SchedulerError(ErrorKind.OwnerGone);
}

/** Reads an answer whose owner is lost, beside an engine that runs a version now. */
async function readOn(began: string | undefined, runsNow: string | undefined): Promise<string> {
  const engine = {
    id: 'engine-1',
    serviceId: 'llm',
    url: 'http://10.0.0.1:80',
    engineKind: 'fast',
    availabilityZone: 'a',
    softwareVersion: parseSoftwareVersion(runsNow),
  };
  const service = {
    id: 'llm',
    kind: ServiceKind.Model,
    models: [],
    honoursContinue: false,
    checksOrders: false,
    dispatchGroupSize: 8,
    backendServers: [engine],
  };
  const rest = { status: 200, isFramed: true, headers: {}, body: readText('two') };
  const backend = { resume: async () => rest as unknown as BackendAnswer };
  const answer = relayWithFailover(
    {
      clock: new VirtualClock(),
      configuration: new FakeConfiguration(service, 1),
      backend: backend as unknown as BackendServerClient,
    },
    { text: 'r-1' } as RequestId,
    {
      head: {
        status: 200,
        isFramed: true,
        headers: {
          'backend-server': 'engine-1',
          'stream-id': 's-1',
          ...(began !== undefined && { 'backend-server-version': began }),
        },
      },
      body: readUntilLost(),
    },
    {
      offset: 0,
      callerGone: new AbortController().signal,
      readAgain: () => Promise.reject(new SchedulerError(ErrorKind.OwnerGone)),
    },
  );
  const parts: string[] = [];
  for await (const bytes of answer.body) parts.push(Buffer.from(bytes).toString());
  return parts.join('');
}

/** Guards against a stream that is read on from an engine that runs other software by now. */
t.test('an answer is read on at the engine only while that runs its version', async (t) => {
  t.equal(await readOn('v1', 'v1'), 'one two');
  t.equal(await readOn(undefined, undefined), 'one two');
  await t.rejects(readOn('v1', 'v2'), SchedulerError);
  await t.rejects(readOn('v1', undefined), SchedulerError);
});
