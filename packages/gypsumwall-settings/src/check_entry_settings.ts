/** Checks the settings file of an entry process. */
import * as result from 'true-myth/result';
import * as entrySettings from './entry_settings.js';
import * as explainIssue from './explain_issue.js';
import * as readJsonc from './read_jsonc.js';
import type * as settingsProblem from './settings_problem.js';

const KNOWN_KEYS = [
  ...Object.keys(entrySettings.entrySettingsSchema.shape),
  'host',
  'port',
];

/** The settings in `text`, or every problem found; `file` names its origin. */
export function checkEntrySettings(
  text: string,
  file: string,
): result.Result<
  entrySettings.EntrySettings,
  settingsProblem.SettingsProblem[]
> {
  const document = readJsonc.readJsonc(text, file);
  if (document.isErr) return result.err(document.error);
  const {value, placeOf} = document.value;
  const source = {value, placeOf, file};
  const parsed = entrySettings.entrySettingsSchema.safeParse(value);
  if (!parsed.success) {
    return result.err(
      explainIssue.explainIssues(parsed.error.issues, source, KNOWN_KEYS),
    );
  }
  const faults = contradictions(parsed.data);
  if (faults.length === 0) return result.ok(parsed.data);
  return result.err(
    faults.map((fault) => explainIssue.problemOf(fault, source)),
  );
}

type SpanKey = {
  [Key in keyof entrySettings.EntrySettings]-?: Key extends `${string}Ms`
    ? Key
    : never;
}[keyof entrySettings.EntrySettings];

/** `longer` must be more than `times` times `shorter`, or `symptom` follows. */
interface SpanRule {
  readonly longer: SpanKey;
  readonly times: number;
  readonly shorter: SpanKey;
  readonly symptom: string;
}

const SPAN_RULES: readonly SpanRule[] = [
  {
    longer: 'peerSilenceMs',
    times: 1,
    shorter: 'peerHeartbeatMs',
    symptom: 'every live peer would count as silent',
  },
  {
    longer: 'taskLeaseMs',
    times: 2,
    shorter: 'workerHeartbeatMs',
    symptom: 'one lost heartbeat would stop running tasks',
  },
  {
    longer: 'serviceLeaseMs',
    times: 2,
    shorter: 'workerHeartbeatMs',
    symptom: 'one lost heartbeat would stop running services',
  },
  {
    longer: 'claimTtlMs',
    times: 2,
    shorter: 'peerHeartbeatMs',
    symptom: 'a claim would lapse between two renewals',
  },
  {
    longer: 'claimTtlMs',
    times: 1,
    shorter: 'platformTimeoutMs',
    symptom: 'one slow call of the log would let a claim lapse',
  },
  {
    longer: 'listLagMs',
    times: 1,
    shorter: 'listPollMs',
    symptom: 'the list would count as too old between two polls',
  },
  {
    longer: 'drainTimeoutMs',
    times: 2,
    shorter: 'drainNoticeMs',
    symptom: 'a planned stop would cut off calls that came during the notice',
  },
];

function contradictions(
  settings: entrySettings.EntrySettings,
): explainIssue.Fault[] {
  const faults = SPAN_RULES.flatMap((rule) => spanFault(settings, rule));
  if (settings.port !== 0 && settings.port === settings.peerPort) {
    faults.push({
      path: ['peerPort'],
      message: 'callers and peers would share one port',
      remedy: `Use another port than ${settings.port}, or 0.`,
    });
  }
  return faults;
}

function spanFault(
  settings: entrySettings.EntrySettings,
  rule: SpanRule,
): explainIssue.Fault[] {
  const least = rule.times * settings[rule.shorter];
  if (settings[rule.longer] > least) return [];
  const times = rule.times === 1 ? '' : `${rule.times} x `;
  return [
    {
      path: [rule.longer],
      message: `contradicts ${rule.shorter} = ${settings[rule.shorter]}: ${rule.symptom}`,
      remedy: `Use more than ${times}${rule.shorter}, that is more than ${least} (milliseconds).`,
    },
  ];
}
