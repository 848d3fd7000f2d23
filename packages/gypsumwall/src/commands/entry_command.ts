/** The command `gypsumwall entry`. */
import * as oclif from '@oclif/core';

/** Runs an entry process until a stop signal. */
export class EntryCommand extends oclif.Command {
  static override summary = 'Run one entry process.';
  static override description =
    'Prints one JSON line once it listens, with its id and addresses. SIGTERM ' +
    'and SIGINT are a planned stop: nothing new is taken, what is in flight ' +
    'is finished, and the process ends with 0.';
  static override examples = [
    '<%= config.bin %> <%= command.id %> --settings entry.jsonc',
  ];
  static override flags = {
    settings: oclif.Flags.string({
      required: true,
      helpValue: 'FILE',
      description: 'settings of this process, JSON with comments',
    }),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(EntryCommand);
    // Imported here, so that other commands don't load the entry's code.
    const {runEntry} = await import('../run_entry.js');
    await runEntry(flags.settings, (line) => this.log(line));
  }
}
