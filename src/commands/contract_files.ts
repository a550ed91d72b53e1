/**
 * Reads documents from files for the contract commands.
 *
 * @module
 */
import { readFile } from 'node:fs/promises';
import { formatReason } from '../domain/errors/mod.js';
import { parseContract, parseFleet } from '../domain/contracts/mod.js';
import type { AccountContract, DocumentFault, Fleet } from '../domain/contracts/mod.js';

/** A document file that was read and checked. */
export interface CheckedFile {
  readonly file: string;
  readonly contract?: AccountContract;
  readonly fleet?: Fleet;
  /** All faults; empty where the document is valid. */
  readonly faults: readonly DocumentFault[];
}

/**
 * Reads and checks a contract file, by the validator of the daemon.
 *
 * @param file - the file's name
 * @returns the contract or its faults; a file that can't be read is a fault
 */
export async function readContractFile(file: string): Promise<CheckedFile> {
  return checkFile(file, (bytes) => {
    const result = parseContract(bytes);
    return result.valid ? { contract: result.value, faults: [] } : result;
  });
}

/**
 * Reads and checks a fleet file, by the validator of the daemon.
 *
 * @param file - the file's name
 * @returns the fleet or its faults; a file that can't be read is a fault
 */
export async function readFleetFile(file: string): Promise<CheckedFile> {
  return checkFile(file, (bytes) => {
    const result = parseFleet(bytes);
    return result.valid ? { fleet: result.value, faults: [] } : result;
  });
}

/**
 * Writes a file's faults, one a line, in the form that editors know.
 *
 * @param checked - the checked file
 * @returns such as `firm-a.json:7: work[2].tier: is required`
 */
export function formatFileFaults({ file, faults }: CheckedFile): string {
  return faults
    .map(({ line, field, message }) => `${file}:${line}: ${field && `${field}: `}${message}\n`)
    .join('');
}

async function checkFile(
  file: string,
  check: (bytes: Uint8Array) => Omit<CheckedFile, 'file'>,
): Promise<CheckedFile> {
  try {
    const { contract, fleet, faults } = check(await readFile(file));
    return { file, contract, fleet, faults };
  } catch (error) {
    const reason = formatReason(error);
    return { file, faults: [{ line: 1, field: '', message: `cannot be read: ${reason}` }] };
  }
}
