/**
 * Entry point of a process that runs a stand-in configuration service or host list.
 *
 * @module
 */
import { parseArgs } from 'node:util';
import { parseListenAddress, runProgram } from './_program.js';
import { Platform } from './platform.js';

const { values } = parseArgs({
  options: {
    listen: { type: 'string', default: '127.0.0.1:0' },
    role: { type: 'string', default: 'configuration' },
    'lag-ms': { type: 'string', default: '0' },
  },
});
const platform = new Platform({ lagMs: Number(values['lag-ms']) });
const url = await platform.open(parseListenAddress(values.listen));
runProgram({ url, role: values.role }, [platform]);
