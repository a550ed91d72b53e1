/**
 * Registers the commands of the `monsoonhall` program and runs one of them.
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

/** Prints a value name in the help of options, where clipanion itself prints `#0`. */
class NamedValueCli extends Cli {
  override usage(...args: Parameters<Cli['usage']>): string {
    return formatUsage(super.usage(...args));
  }
}

/** @returns the command-line interface with every command registered */
export function createCli(): Cli {
  const cli = new NamedValueCli({
    binaryLabel: 'monsoonhall',
    binaryName: 'monsoonhall',
    binaryVersion: VERSION,
    enableColors: false,
  });
  COMMANDS.forEach((command) => cli.register(command));
  return cli;
}

function formatErrorLine(error: unknown): string {
  const message = formatReason(error);
  return message.split('\n')[0]?.replace(/(; did you mean.*)?[.:]$/, '') ?? message;
}

/** Prints one line per fault, without a stack trace, because the reader is an operator. */
function printFailure(error: unknown, context: BaseContext): number {
  if (error instanceof SettingsError) {
    error.faults.forEach((fault) => context.stderr.write(`${fault}\n`));
    return SETTINGS_EXIT_CODE;
  }
  context.stderr.write(`monsoonhall: ${formatErrorLine(error)}\n`);
  return FAILURE_EXIT_CODE;
}

async function runCommand(cli: Cli, command: Command, context: BaseContext): Promise<number> {
  if (command.help) {
    context.stdout.write(cli.usage(command, { detailed: true }));
    return 0;
  }
  const preparedCommand = command;
  preparedCommand.context = context;
  preparedCommand.cli = cli;
  return preparedCommand.validateAndExecute();
}

/**
 * Runs one command. Without arguments, prints the help.
 *
 * @param argv - arguments after the program name
 * @param contextOverrides - streams and environment variables that replace those of the process
 * @returns the exit code
 */
export async function runCli(
  argv: readonly string[],
  contextOverrides: Partial<BaseContext> = {},
): Promise<number> {
  const cli = createCli();
  const context = { ...Cli.defaultContext, ...contextOverrides };
  let command: Command;
  try {
    command = cli.process(argv.length === 0 ? ['--help'] : [...argv], context);
  } catch (error) {
    context.stderr.write(`monsoonhall: ${formatErrorLine(error)}; see monsoonhall --help\n`);
    return SETTINGS_EXIT_CODE;
  }
  try {
    return await runCommand(cli, command, context);
  } catch (error) {
    return printFailure(error, context);
  }
}
