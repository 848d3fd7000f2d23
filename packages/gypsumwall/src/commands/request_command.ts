/** The command `gypsumwall request`. */
import * as oclif from '@oclif/core';
import * as callFlags from '../call_flags.js';

export class RequestCommand extends oclif.Command {
  static override summary = 'Send one request; prints the answer.';
  static override description =
    'An operation that may not be repeated needs --key; it runs at most once ' +
    'for that key, whichever entry gets it. An answer that breaks off ends ' +
    'with an error, after the part that came.';
  static override examples = [
    `<%= config.bin %> <%= command.id %> airspace-check --data '{"route":"VTBD VTCC"}'`,
    '<%= config.bin %> <%= command.id %> file-plan --body plan.json --key sortie-118',
  ];
  static override args = {
    operation: oclif.Args.string({
      required: true,
      description: 'operation, as the settings of your team name it',
    }),
  };
  static override flags = {
    ...callFlags.CALL_FLAGS,
    body: oclif.Flags.string({
      helpValue: 'FILE',
      exclusive: ['data'],
      description: 'file of the body, or - for standard input',
    }),
    data: oclif.Flags.string({helpValue: 'TEXT', description: 'the body'}),
    'content-type': oclif.Flags.string({
      default: 'application/json',
      helpValue: 'TYPE',
      description: 'type of the body',
    }),
    key: callFlags.KEY_FLAG,
    json: callFlags.JSON_FLAG,
  };

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(RequestCommand);
    const {sendRequest} = await import('../send_request.js');
    await sendRequest(args.operation, flags, (text) => this.log(text));
  }
}
