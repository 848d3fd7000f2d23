/** Validates the settings file of an entry process. */
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

/** Returns the settings in `text`, or all problems; `file` is shown in them. */
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
  const faults = findContradictions(parsed.data);
  if (faults.length === 0) return result.ok(parsed.data);
  return result.err(
    faults.map((fault) => explainIssue.toProblem(fault, source)),
  );
}

type SpanKey = {
  [Key in keyof entrySettings.EntrySettings]-?: Key extends `${string}Ms`
    ? Key
    : never;
}[keyof entrySettings.EntrySettings];

/**
 * `longer` must be more than `factor` times `shorter`; otherwise there would be
 * the `consequence`.
 */
interface SpanRule {
  readonly longer: SpanKey;
  readonly factor: number;
  readonly shorter: SpanKey;
  readonly consequence: string;
}

const SPAN_RULES: readonly SpanRule[] = [
  {
    longer: 'peerSilenceMs',
    factor: 1,
    shorter: 'peerHeartbeatMs',
    consequence: 'all live peers would count as silent',
  },
  {
    longer: 'taskLeaseMs',
    factor: 2,
    shorter: 'workerHeartbeatMs',
    consequence: 'a single lost heartbeat would stop running tasks',
  },
  {
    longer: 'serviceLeaseMs',
    factor: 2,
    shorter: 'workerHeartbeatMs',
    consequence: 'a single lost heartbeat would stop running services',
  },
  {
    longer: 'claimTtlMs',
    factor: 2,
    shorter: 'peerHeartbeatMs',
    consequence: 'a claim would expire between two renewals',
  },
  {
    longer: 'claimTtlMs',
    factor: 1,
    shorter: 'platformTimeoutMs',
    consequence: 'a claim would expire during one slow call to the log',
  },
  {
    longer: 'listLagMs',
    factor: 1,
    shorter: 'listPollMs',
    consequence: 'the list would count as too old between two polls',
  },
  {
    longer: 'drainTimeoutMs',
    factor: 2,
    shorter: 'drainNoticeMs',
    consequence:
      'a planned stop would abort calls that arrived during the notice',
  },
];

function findContradictions(
  settings: entrySettings.EntrySettings,
): explainIssue.Fault[] {
  const faults = SPAN_RULES.flatMap((rule) => checkSpanRule(settings, rule));
  if (settings.port !== 0 && settings.port === settings.peerPort) {
    faults.push({
      path: ['peerPort'],
      message: 'callers and peers would share one port',
      remedy: `Use another port than ${settings.port}, or 0.`,
    });
  }
  return faults;
}

function checkSpanRule(
  settings: entrySettings.EntrySettings,
  rule: SpanRule,
): explainIssue.Fault[] {
  const bound = rule.factor * settings[rule.shorter];
  if (settings[rule.longer] > bound) return [];
  const factorText = rule.factor === 1 ? '' : `${rule.factor} x `;
  return [
    {
      path: [rule.longer],
      message: `contradicts ${rule.shorter} = ${settings[rule.shorter]}: ${rule.consequence}`,
      remedy: `Use more than ${factorText}${rule.shorter}, that is more than ${bound} (milliseconds).`,
    },
  ];
}
