/**
 * Provides the `--help` command and formats the help of single commands.
 *
 * @module
 */
import { Command } from 'clipanion';

/** Placeholder that clipanion prints for an option's value, with the padding after it. */
const VALUE_PATTERN = /#0 {3}/g;
const VALUE_NAME = 'VALUE';

/**
 * Replaces the placeholder of each option's value by a readable name of the same width.
 *
 * @param usage - help text as clipanion formats it
 * @returns the help text to print
 */
export function formatUsage(usage: string): string {
  return usage.replace(VALUE_PATTERN, VALUE_NAME);
}

/** Lists the commands without their options, which would fill several screens. */
export class HelpCommand extends Command {
  static override paths = [['--help'], ['-h']];

  /** @returns the exit code */
  override async execute(): Promise<number> {
    const { binaryName, binaryVersion } = this.cli;
    const commands = this.cli
      .definitions()
      .map(({ path, description }) => ({
        path: path.replace(/ \[.*$/, ''),
        description: description?.trim() ?? '',
      }))
      .sort((a, b) => (a.path < b.path ? -1 : 1));
    const pathWidth = Math.max(...commands.map(({ path }) => path.length));
    const lines = commands.map(
      ({ path, description }) => `  ${path.padEnd(pathWidth)}  ${description}`,
    );
    this.context.stdout.write(
      `${binaryName} ${binaryVersion}, a request scheduler for heterogeneous model engines\n\n` +
        `${lines.join('\n')}\n\nFor the options of a command, run: ${binaryName} COMMAND --help\n`,
    );
    return 0;
  }
}
