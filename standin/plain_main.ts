/**
 * Entry point of a process that runs one stand-in plain service.
 *
 * @module
 */
import { parseArgs } from 'node:util';
import { parseListenAddress, runProgram } from './_program.js';
import { PlainService } from './plain_service.js';

const { values } = parseArgs({
  options: {
    listen: { type: 'string', default: '127.0.0.1:0' },
    id: { type: 'string', default: 'plain-1' },
    service: { type: 'string', default: 'case-app' },
    'no-continue': { type: 'boolean', default: false },
    'latency-ms': { type: 'string', default: '5' },
    'max-running': { type: 'string', default: '256' },
    'load-lag-ms': { type: 'string', default: '500' },
    'runs-file': { type: 'string' },
  },
});
const service = new PlainService({
  id: values.id,
  service: values.service,
  honoursContinue: !values['no-continue'],
  latencyMs: Number(values['latency-ms']),
  maxRunning: Number(values['max-running']),
  loadLagMs: Number(values['load-lag-ms']),
  runsFile: values['runs-file'],
});
const url = await service.open(parseListenAddress(values.listen));
runProgram({ url, id: values.id }, [service]);
