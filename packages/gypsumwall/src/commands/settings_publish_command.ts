/** The command `gypsumwall settings publish`. */
import * as oclif from '@oclif/core';
import * as callFlags from '../call_flags.js';

export class SettingsPublishCommand extends oclif.Command {
  static override summary = 'Publish the subtrees of a file that differ.';
  static override description =
    'The file is checked first. Of two operators who publish the same ' +
    'subtree at once, one wins and the other is told of the conflict. ' +
    'Without --base the change is based on the revision in force when the ' +
    'command starts.';
  static override examples = [
    '<%= config.bin %> <%= command.id %> cell.jsonc',
    '<%= config.bin %> <%= command.id %> --path teams/night-plans --base 12 team.jsonc',
  ];
  static override args = {
    file: oclif.Args.string({required: true, description: 'file to publish'}),
  };
  static override flags = {
    ...callFlags.CALL_FLAGS,
    path: callFlags.SUBTREE_FLAG,
    base: oclif.Flags.integer({
      dependsOn: ['path'],
      helpValue: 'REVISION',
      description: 'revision the change is based on; -1 for a new subtree',
    }),
    json: callFlags.JSON_FLAG,
  };

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(SettingsPublishCommand);
    const {publishSettings} = await import('../published_settings.js');
    await publishSettings(args.file, flags, (text) => this.log(text));
  }
}
