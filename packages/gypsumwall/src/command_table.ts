/** All commands of the binary. */
import type * as commandPlugin from './command_plugin.js';
import * as drainCommand from './commands/drain_command.js';
import * as entryCommand from './commands/entry_command.js';
import * as explainCommand from './commands/explain_command.js';
import * as jobCancelCommand from './commands/job_cancel_command.js';
import * as jobListCommand from './commands/job_list_command.js';
import * as jobResultCommand from './commands/job_result_command.js';
import * as jobStatusCommand from './commands/job_status_command.js';
import * as requestCommand from './commands/request_command.js';
import * as settingsCheckCommand from './commands/settings_check_command.js';
import * as settingsDiffCommand from './commands/settings_diff_command.js';
import * as settingsGetCommand from './commands/settings_get_command.js';
import * as settingsPublishCommand from './commands/settings_publish_command.js';
import * as statusCommand from './commands/status_command.js';
import * as submitCommand from './commands/submit_command.js';

/** Commands by id; a colon separates topic and command. */
export const COMMAND_TABLE: commandPlugin.CommandTable = {
  entry: entryCommand.EntryCommand,
  'settings:check': settingsCheckCommand.SettingsCheckCommand,
  'settings:publish': settingsPublishCommand.SettingsPublishCommand,
  'settings:get': settingsGetCommand.SettingsGetCommand,
  'settings:diff': settingsDiffCommand.SettingsDiffCommand,
  submit: submitCommand.SubmitCommand,
  'job:status': jobStatusCommand.JobStatusCommand,
  'job:result': jobResultCommand.JobResultCommand,
  'job:cancel': jobCancelCommand.JobCancelCommand,
  'job:list': jobListCommand.JobListCommand,
  request: requestCommand.RequestCommand,
  explain: explainCommand.ExplainCommand,
  status: statusCommand.StatusCommand,
  drain: drainCommand.DrainCommand,
};
