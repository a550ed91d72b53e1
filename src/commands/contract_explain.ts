/**
 * Implements `monsoonhall contract explain`, which prints what a contract results in.
 *
 * @module
 */
import { Command, Option } from 'clipanion';
import { explainContract } from '../domain/contracts/mod.js';
import type { ExplanationRow } from '../domain/contracts/mod.js';
import { formatFileFaults, readContractFile, readFleetFile } from './contract_files.js';

/** Explains a contract document. Exit code 0 when it is valid, 1 otherwise. */
export class ContractExplainCommand extends Command {
  static override paths = [['contract', 'explain']];

  static override usage = Command.Usage({
    category: 'Contracts',
    description: 'print every limit, tier and allowance that follows from a contract',
    examples: [
      ['Explain a contract', 'monsoonhall contract explain firm-a.json'],
      ['With hints, as JSON', 'monsoonhall contract explain firm-a.json --fleet fleet.json --json'],
    ],
  });

  readonly fleet = Option.String('--fleet', { description: 'fleet document, for hints' });

  readonly json = Option.Boolean('--json', false, { description: 'print JSON' });

  readonly file = Option.String({ name: 'FILE' });

  /** @returns the exit code */
  override async execute(): Promise<number> {
    const fleetFile = this.fleet === undefined ? undefined : await readFleetFile(this.fleet);
    const { contract, ...checked } = await readContractFile(this.file);
    if (fleetFile) this.context.stderr.write(formatFileFaults(fleetFile));
    this.context.stderr.write(formatFileFaults(checked));
    if (!contract || (fleetFile && !fleetFile.fleet)) return 1;
    const rows = explainContract(contract, fleetFile?.fleet);
    const text = this.json
      ? `${JSON.stringify({ account: contract.accountId, rows }, undefined, 2)}\n`
      : formatRows(rows);
    this.context.stdout.write(text);
    return 0;
  }
}

function formatRows(rows: readonly ExplanationRow[]): string {
  const subjectWidth = Math.max(...rows.map(({ subject }) => subject.length));
  const nameWidth = Math.max(...rows.map(({ name }) => name.length));
  return rows
    .map(
      ({ subject, name, value }) =>
        `${subject.padEnd(subjectWidth)}  ${name.padEnd(nameWidth)}  ${value}\n`,
    )
    .join('');
}
