/**
 * Reads and checks document files for the contract commands.
 *
 * @module
 */
import { readFile } from 'node:fs/promises';
import { formatReason } from '../domain/errors/mod.js';
import { parseContract, parseFleet } from '../domain/contracts/mod.js';
import type { AccountContract, DocumentFault, Fleet } from '../domain/contracts/mod.js';

/** Result of reading and checking one document file. */
export interface CheckedFile {
  /** Name of the file as it was given. */
  readonly file: string;
  readonly contract?: AccountContract;
  readonly fleet?: Fleet;
  /** All faults; empty if the document is valid. */
  readonly faults: readonly DocumentFault[];
}

/**
 * Reads a contract file and checks it with the same validator as the daemon.
 *
 * @param file - name of the file
 * @returns the contract or its faults; a file that can't be read results in a fault
 */
export async function readContractFile(file: string): Promise<CheckedFile> {
  return checkFile(file, (bytes) => {
    const result = parseContract(bytes);
    return result.valid ? { contract: result.value, faults: [] } : result;
  });
}

/**
 * Reads a fleet file and checks it with the same validator as the daemon.
 *
 * @param file - name of the file
 * @returns the fleet or its faults; a file that can't be read results in a fault
 */
export async function readFleetFile(file: string): Promise<CheckedFile> {
  return checkFile(file, (bytes) => {
    const result = parseFleet(bytes);
    return result.valid ? { fleet: result.value, faults: [] } : result;
  });
}

/**
 * Formats the faults of a file, one per line, in the `file:line:` format that editors recognise.
 *
 * @param checked - the checked file
 * @returns lines such as `firm-a.json:7: work[2].tier: is required`
 */
export function formatFileFaults({ file, faults }: CheckedFile): string {
  return faults
    .map(({ line, field, message }) => `${file}:${line}: ${field && `${field}: `}${message}\n`)
    .join('');
}

async function checkFile(
  file: string,
  parse: (bytes: Uint8Array) => Omit<CheckedFile, 'file'>,
): Promise<CheckedFile> {
  try {
    const { contract, fleet, faults } = parse(await readFile(file));
    return { file, contract, fleet, faults };
  } catch (error) {
    const reason = formatReason(error);
    return { file, faults: [{ line: 1, field: '', message: `cannot be read: ${reason}` }] };
  }
}
