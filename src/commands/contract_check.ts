/**
 * Implements `monsoonhall contract check`, which validates documents offline as the daemon does.
 *
 * @module
 */
import { Command, Option } from 'clipanion';
import { findHints } from '../domain/contracts/mod.js';
import { formatFileFaults, readContractFile, readFleetFile } from './contract_files.js';
import type { CheckedFile } from './contract_files.js';

/** Checks documents before they are published. Exit code 0 when all are valid, 1 otherwise. */
export class ContractCheckCommand extends Command {
  static override paths = [['contract', 'check']];

  static override usage = Command.Usage({
    category: 'Contracts',
    description: 'check contract and fleet documents as the daemon does',
    details: 'Reports every fault with file, line and field. Hints do not count as faults.',
    examples: [
      ['Check contracts', 'monsoonhall contract check firm-a.json firm-b.json'],
      [
        'Check a fleet and contracts against it',
        'monsoonhall contract check --fleet fleet.json firm-a.json',
      ],
    ],
  });

  readonly fleet = Option.String('--fleet', {
    description: 'fleet document to check; contracts are also compared with it for hints',
  });

  readonly files = Option.Rest({ name: 'FILE' });

  /** @returns the exit code */
  override async execute(): Promise<number> {
    if (this.files.length === 0 && this.fleet === undefined) {
      this.context.stderr.write('Cannot check: name at least one FILE, or --fleet FILE\n');
      return 1;
    }
    const fleetFile = this.fleet === undefined ? undefined : await readFleetFile(this.fleet);
    const contractFiles = await Promise.all(this.files.map(readContractFile));
    const checked = fleetFile ? [fleetFile, ...contractFiles] : contractFiles;
    checked.forEach((file) => this.#print(file, fleetFile));
    return checked.every(({ faults }) => faults.length === 0) ? 0 : 1;
  }

  #print(checked: CheckedFile, fleetFile: CheckedFile | undefined): void {
    const { file, contract, faults } = checked;
    if (faults.length > 0) {
      this.context.stderr.write(formatFileFaults(checked));
      return;
    }
    const subject = contract ? `contract of ${contract.accountId}` : 'fleet';
    this.context.stdout.write(`${file}: valid (${subject})\n`);
    if (!contract || !fleetFile?.fleet) return;
    findHints(contract, fleetFile.fleet).forEach((hint) => {
      this.context.stdout.write(`${file}: hint: ${hint}\n`);
    });
  }
}
