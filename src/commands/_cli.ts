/**
 * The command line.
 *
 * @module
 */
import { Builtins, Cli } from 'clipanion';
import type { BaseContext, Command } from 'clipanion';
import { formatReason } from '../domain/errors/mod.js';
import { formatUsage, HelpCommand } from './_help.js';
import { VERSION } from './_version.js';
import { CallCommand } from './call.js';
import { ContractCheckCommand } from './contract_check.js';
import { ContractExplainCommand } from './contract_explain.js';
import { EntryCommand } from './entry.js';
import { LoadCommand } from './load.js';
import { SETTINGS_EXIT_CODE, SettingsError } from './settings.js';
import { StatusCommand } from './status.js';

const FAILURE_EXIT_CODE = 1;

const COMMANDS = [
  EntryCommand,
  CallCommand,
  StatusCommand,
  ContractCheckCommand,
  ContractExplainCommand,
  LoadCommand,
  HelpCommand,
  Builtins.VersionCommand,
];

/** A command line whose help names the values of options; clipanion's own prints `#0`. */
class ReadableCli extends Cli {
  override usage(...args: Parameters<Cli['usage']>): string {
    return formatUsage(super.usage(...args));
  }
}

/** @returns the command line with every command */
export function createCli(): Cli {
  const cli = new ReadableCli({
    binaryLabel: 'monsoonhall',
    binaryName: 'monsoonhall',
    binaryVersion: VERSION,
    enableColors: false,
  });
  COMMANDS.forEach((command) => cli.register(command));
  return cli;
}

function formatLine(error: unknown): string {
  const message = formatReason(error);
  return message.split('\n')[0]?.replace(/(; did you mean.*)?[.:]$/, '') ?? message;
}

/** Prints one line a fault and no stack trace: operators read it, not developers. */
function printFailure(error: unknown, context: BaseContext): number {
  if (error instanceof SettingsError) {
    error.faults.forEach((fault) => context.stderr.write(`${fault}\n`));
    return SETTINGS_EXIT_CODE;
  }
  context.stderr.write(`monsoonhall: ${formatLine(error)}\n`);
  return FAILURE_EXIT_CODE;
}

async function runCommand(cli: Cli, command: Command, context: BaseContext): Promise<number> {
  if (command.help) {
    context.stdout.write(cli.usage(command, { detailed: true }));
    return 0;
  }
  const prepared = command;
  prepared.context = context;
  prepared.cli = cli;
  return prepared.validateAndExecute();
}

/**
 * Runs one command.
 *
 * @param argv - arguments behind the program's name
 * @param streams - streams and environment; by default those of the process
 * @returns the exit code
 */
export async function runCli(
  argv: readonly string[],
  streams: Partial<BaseContext> = {},
): Promise<number> {
  const cli = createCli();
  const context = { ...Cli.defaultContext, ...streams };
  let command: Command;
  try {
    command = cli.process(argv.length === 0 ? ['--help'] : [...argv], context);
  } catch (error) {
    context.stderr.write(`monsoonhall: ${formatLine(error)}; see monsoonhall --help\n`);
    return SETTINGS_EXIT_CODE;
  }
  try {
    return await runCommand(cli, command, context);
  } catch (error) {
    return printFailure(error, context);
  }
}
