/** The command `gypsumwall settings get`. */
import * as oclif from '@oclif/core';
import * as callFlags from '../call_flags.js';

export class SettingsGetCommand extends oclif.Command {
  static override summary = 'Print a subtree in force, or list all.';
  static override description =
    'The text can be kept as a file, changed, and published with the ' +
    'revision in its first line as --base.';
  static override examples = [
    '<%= config.bin %> <%= command.id %>',
    '<%= config.bin %> <%= command.id %> teams/night-plans > team.jsonc',
  ];
  static override args = {
    path: oclif.Args.string({description: 'cell or teams/TEAM'}),
  };
  static override flags = {
    ...callFlags.CALL_FLAGS,
    json: callFlags.JSON_FLAG,
  };

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(SettingsGetCommand);
    const {getSettings} = await import('../published_settings.js');
    await getSettings(args.path, flags, (text) => this.log(text));
  }
}
